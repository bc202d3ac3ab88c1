#include <nlohmann/json.hpp>
#include <standins/origin.hpp>

#include <algorithm>
#include <cstdlib>

namespace foxtailvale::standins
{

namespace
{

using nlohmann::json;

constexpr std::uint64_t max_body_bytes = 64U * 1024U;
constexpr char const* json_type = "application/json";

} // namespace

origin::origin(
    http::server_options const& options,
    origin_options const& behaviour,
    std::vector<synthetic_weights> served_versions)
    : rate{static_cast<double>(behaviour.bytes_per_second)},
      listener(
          options,
          [this](request& incoming, response& reply)
          {
              this->answer(incoming, reply);
          })
{
    std::lock_guard const lock(this->mutex);
    for (auto& version : served_versions)
    {
        auto const digest = version.digest;
        this->versions.emplace(digest, std::move(version));
    }
}

void origin::answer(request& incoming, response& reply)
{
    auto const& uri = incoming.getURI();
    if (uri == "/control")
    {
        return this->control(incoming, reply);
    }
    if (uri == "/counters")
    {
        return this->send_counters(reply);
    }
    constexpr std::string_view prefix = "/weights/";
    auto const rest =
        uri.starts_with(prefix) ? uri.substr(prefix.size()) : std::string();
    auto const digest = rest.substr(0, rest.find('/'));
    synthetic_weights const* version = nullptr;
    auto unavailable = false;
    {
        std::lock_guard const lock(this->mutex);
        unavailable = this->outage;
        auto const found = this->versions.find(digest);
        version = found == this->versions.end() ? nullptr : &found->second;
    }
    if (unavailable)
    {
        return http::send_text(reply, 503, json_type, "{}");
    }
    if (version == nullptr)
    {
        return http::send_text(reply, 404, json_type, "{}");
    }
    if (rest == digest + "/manifest")
    {
        return http::send_text(reply, 200, json_type, version->manifest_text);
    }
    auto const index =
        std::strtoull(rest.substr(rest.rfind('/') + 1).c_str(), nullptr, 10);
    this->send_chunk(*version, index, reply);
}

bool origin::take_allowance(std::uint64_t bytes)
{
    auto const taken = take(
        this->rate, static_cast<double>(bytes),
        std::chrono::steady_clock::now());
    this->refusals += taken ? 0 : 1;
    return taken;
}

void origin::send_chunk(
    synthetic_weights const& version, std::size_t index, response& reply)
{
    if (index >= version.description.chunks.size())
    {
        return http::send_text(reply, 404, json_type, "{}");
    }
    auto const size = weights::chunk_size(
        version.description, static_cast<std::uint32_t>(index));
    auto bytes =
        version.bytes.substr(index * version.description.chunk_bytes, size);
    auto allowed = false;
    {
        std::lock_guard const lock(this->mutex);
        allowed = this->take_allowance(size);
        if (allowed)
        {
            this->bytes_sent[version.digest] += size;
        }
        if (this->corrupt_chunks > 0)
        {
            --this->corrupt_chunks;
            bytes[0] = static_cast<char>(bytes[0] ^ 1);
        }
    }
    if (!allowed)
    {
        return http::send_text(reply, 429, json_type, "{}");
    }
    http::send_text(reply, 200, "application/octet-stream", bytes);
}

void origin::control(request& incoming, response& reply)
{
    std::string text;
    http::read_body(incoming, max_body_bytes, text);
    auto const value = json::parse(text, nullptr, false);
    if (!value.is_object())
    {
        return http::send_text(reply, 400, json_type, "{}");
    }
    {
        std::lock_guard const lock(this->mutex);
        this->outage = value.value("outage", this->outage);
        this->corrupt_chunks =
            value.value("corrupt_chunks", this->corrupt_chunks);
    }
    http::send_text(reply, 200, json_type, "{}");
}

void origin::send_counters(response& reply)
{
    json value;
    {
        std::lock_guard const lock(this->mutex);
        value["refusals"] = this->refusals;
        value["versions"] = json::object();
        for (auto const& [digest, version] : this->versions)
        {
            value["versions"][digest] = {
                {"bytes", version.bytes.size()},
                {"bytes_sent", this->bytes_sent[digest]}};
        }
    }
    http::send_text(reply, 200, json_type, value.dump());
}

} // namespace foxtailvale::standins
