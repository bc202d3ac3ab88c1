#include <base/digest.hpp>
#include <request/claim.hpp>

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/Exception.h>
#include <nlohmann/json.hpp>

#include <array>
#include <iterator>
#include <sstream>

namespace foxtailvale::request
{

namespace
{

using nlohmann::json;

struct state_name
{
    claim_state state;
    char const* name;
};

constexpr std::array state_names{
    state_name{claim_state::running, "running"},
    state_name{claim_state::finished, "finished"},
    state_name{claim_state::not_run, "not_run"},
};

std::string encode(std::string const& bytes)
{
    std::ostringstream text;
    Poco::Base64Encoder encoder(text);
    encoder.rdbuf()->setLineLength(0);
    encoder << bytes;
    encoder.close();
    return text.str();
}

std::string decode(std::string const& text)
{
    std::istringstream input(text);
    Poco::Base64Decoder decoder(input);
    return {std::istreambuf_iterator<char>(decoder), {}};
}

// Appends a length-prefixed field, so that different lists of fields never give
// the same text.
void append_field(std::string& text, std::string const& field)
{
    text += std::to_string(field.size());
    text += ':';
    text += field;
}

} // namespace

std::string claim_path(std::string const& prefix, claim_name const& name)
{
    std::string text;
    append_field(text, name.workspace);
    append_field(text, name.service);
    append_field(text, name.key);
    auto const digest = base::sha256_hex(text);
    return prefix + digest.substr(0, 2) + "/" + digest.substr(2);
}

std::string request_digest(
    std::string const& method,
    std::string const& path,
    std::string const& content_type,
    std::string const& body)
{
    std::string text;
    append_field(text, method);
    append_field(text, path);
    append_field(text, content_type);
    append_field(text, body);
    return base::sha256_hex(text);
}

std::string to_text(claim const& value)
{
    auto const body_stored =
        value.body_kept && value.body.size() <= max_stored_bytes;
    json text{
        {"attempt", base::to_string(value.attempt)},
        {"agent", value.agent},
        {"request", value.request_digest},
        {"status", value.status},
        {"content_type", encode(value.content_type)},
        {"body_kept", body_stored}};
    for (auto const& row : state_names)
    {
        if (row.state == value.state)
        {
            text["state"] = row.name;
        }
    }
    if (body_stored)
    {
        text["body"] = encode(value.body);
    }
    return text.dump(-1, ' ', false, json::error_handler_t::replace);
}

base::result<claim> parse_claim(std::string const& text)
{
    auto const unreadable = base::fail(base::error_kind::bad_frame, "claim");
    try
    {
        auto const value = json::parse(text);
        claim read;
        auto const name = value.at("state").get<std::string>();
        auto known = false;
        for (auto const& row : state_names)
        {
            if (name == row.name)
            {
                read.state = row.state;
                known = true;
            }
        }
        auto const attempt =
            base::parse_attempt_id(value.at("attempt").get<std::string>());
        if (!known || !attempt)
        {
            return unreadable;
        }
        read.attempt = *attempt;
        read.agent = value.at("agent").get<std::string>();
        read.request_digest = value.at("request").get<std::string>();
        read.status = value.at("status").get<std::uint32_t>();
        read.content_type = decode(value.at("content_type").get<std::string>());
        read.body_kept = value.at("body_kept").get<bool>();
        if (read.body_kept)
        {
            read.body = decode(value.at("body").get<std::string>());
        }
        return read;
    }
    catch (json::exception const&)
    {
        return unreadable;
    }
    catch (Poco::Exception const&)
    {
        return unreadable;
    }
}

} // namespace foxtailvale::request
