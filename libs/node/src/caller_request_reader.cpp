#include "caller_request_reader.hpp"

#include <base/digest.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <optional>

namespace foxtailvale::node
{

namespace
{

using base::error_kind;
using std::chrono::milliseconds;

constexpr std::string_view chat_path = "/v1/chat/completions";
constexpr std::string_view services_prefix = "/services/";

// Length in bytes of the prompt prefix whose hash selects an endpoint that is
// likely to have it cached.
constexpr std::size_t prefix_bytes = 256;

constexpr std::uint32_t highest_priority = 9;

std::string header(raw_request const& raw, std::string const& name)
{
    auto const found = raw.headers.find(name);
    return found == raw.headers.end() ? std::string() : found->second;
}

std::optional<std::uint64_t> number(std::string const& text)
{
    std::uint64_t value = 0;
    auto const* const end = text.data() + text.size();
    auto const read = std::from_chars(text.data(), end, value);
    if (text.empty() || read.ec != std::errc() || read.ptr != end)
    {
        return std::nullopt;
    }
    return value;
}

base::result<void> read_headers(
    raw_request const& raw,
    release::entry_settings const& settings,
    entry_core::caller_request& request)
{
    request.workspace = header(raw, "x-workspace");
    request.request_id = header(raw, "x-request-id");
    request.idempotency_key = header(raw, "idempotency-key");
    request.time_left = settings.default_deadline;
    auto const deadline = header(raw, "x-deadline-ms");
    if (!deadline.empty())
    {
        auto const value = number(deadline);
        if (!value || *value == 0)
        {
            return base::fail(
                error_kind::malformed_request,
                "X-Deadline-Ms must be a whole number above zero");
        }
        auto const max_deadline_ms =
            static_cast<std::uint64_t>(settings.max_deadline.count());
        request.time_left = milliseconds(std::min(*value, max_deadline_ms));
    }
    auto const priority = header(raw, "x-priority");
    if (!priority.empty())
    {
        auto const value = number(priority);
        if (!value || *value > highest_priority)
        {
            return base::fail(
                error_kind::malformed_request,
                "X-Priority must be a whole number from 0 to 9");
        }
        request.priority = static_cast<std::uint32_t>(*value);
    }
    return boost::outcome_v2::success();
}

base::result<void>
read_chat(raw_request const& raw, entry_core::caller_request& request)
{
    auto const body = nlohmann::json::parse(raw.body, nullptr, false);
    if (!body.is_object())
    {
        return base::fail(
            error_kind::malformed_request, "the body must be a JSON object");
    }
    auto const model = body.find("model");
    if (model == body.end() || !model->is_string())
    {
        return base::fail(
            error_kind::malformed_request, "\"model\" must be a text");
    }
    auto const messages = body.find("messages");
    if (messages == body.end() || !messages->is_array())
    {
        return base::fail(
            error_kind::malformed_request, "\"messages\" must be a list");
    }
    auto const stream = body.find("stream");
    if (stream != body.end() && !stream->is_boolean())
    {
        return base::fail(
            error_kind::malformed_request, "\"stream\" must be true or false");
    }
    request.model = model->get<std::string>();
    request.stream = stream != body.end() && stream->get<bool>();
    auto const prompt = messages->dump(
        -1, ' ', false, nlohmann::json::error_handler_t::replace);
    request.prefix = base::stable_hash(prompt.substr(0, prefix_bytes));
    request.path = raw.path;
    return boost::outcome_v2::success();
}

void read_service(raw_request const& raw, entry_core::caller_request& request)
{
    auto const rest = raw.path.substr(services_prefix.size());
    auto const name_end = std::min(rest.find('/'), rest.find('?'));
    request.service = rest.substr(0, name_end);
    request.path = name_end == std::string::npos ? "/" : rest.substr(name_end);
    if (request.path.front() == '?')
    {
        request.path.insert(0, "/");
    }
}

} // namespace

base::result<entry_core::caller_request>
read_caller_request(raw_request raw, release::entry_settings const& settings)
{
    entry_core::caller_request request;
    request.method = raw.method;
    request.content_type = raw.content_type;
    BOOST_OUTCOME_TRYV(read_headers(raw, settings, request));
    if (raw.path == chat_path)
    {
        if (raw.method != "POST")
        {
            return base::fail(
                error_kind::malformed_request, "use POST for this path");
        }
        BOOST_OUTCOME_TRYV(read_chat(raw, request));
    }
    else if (raw.path.starts_with(services_prefix))
    {
        read_service(raw, request);
    }
    else
    {
        return base::fail(
            error_kind::unknown_service, "no such path: " + raw.path);
    }
    request.body = std::move(raw.body);
    return request;
}

} // namespace foxtailvale::node
