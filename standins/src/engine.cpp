#include <base/digest.hpp>
#include <weights/manifest.hpp>

#include <http/http_client.hpp>
#include <standins/engine.hpp>
#include <standins/synthetic.hpp>
#include <standins/wall_clock.hpp>

#include <algorithm>
#include <ostream>
#include <thread>
#include <utility>

namespace foxtailvale::standins
{

namespace
{

using nlohmann::json;
using std::chrono::microseconds;

constexpr std::uint64_t max_body_bytes = 4U * 1024U * 1024U;
constexpr std::size_t prefix_bytes = 64;
constexpr char const* json_type = "application/json";
// A prompt that contains this text crashes any engine that runs it.
constexpr char const* crash_mark = "crash-this-engine";

std::string stream_event(std::string const& id, std::string const& token)
{
    return "data: " +
           json{
               {"id", id},
               {"object", "chat.completion.chunk"},
               {"choices",
                json::array({{{"index", 0}, {"delta", {{"content", token}}}}})}}
               .dump() +
           "\n\n";
}

std::string completion_body(std::string const& id, std::string const& text)
{
    return json{
        {"id", id},
        {"object", "chat.completion"},
        {"choices",
         json::array(
             {{{"index", 0},
               {"message", {{"role", "assistant"}, {"content", text}}},
               {"finish_reason", "stop"}}})}}
        .dump();
}

// Downloads a version from the agent and verifies it against its digest.
// Returns false when any part is missing or does not match.
bool fetch_weights(std::string const& source, std::string const& digest)
{
    http::request download;
    download.base = source;
    download.path = "/weights/" + digest + "/manifest";
    auto const text = http::call(download);
    if (!text || text.value().status != 200)
    {
        return false;
    }
    auto const manifest = weights::parse_manifest(text.value().body, digest);
    if (!manifest)
    {
        return false;
    }
    auto const& chunks = manifest.value().chunks;
    for (std::size_t index = 0; index < chunks.size(); ++index)
    {
        download.path =
            "/weights/" + digest + "/chunks/" + std::to_string(index);
        auto const chunk = http::call(download);
        if (!chunk || chunk.value().status != 200 ||
            base::sha256_hex(chunk.value().body) != chunks[index])
        {
            return false;
        }
    }
    return true;
}

} // namespace

engine::engine(
    http::server_options const& options, engine_options engine_behaviour)
    : behaviour(std::move(engine_behaviour)),
      listener(
          options,
          [this](request& incoming, response& reply)
          {
              this->answer(incoming, reply);
          })
{
}

void engine::answer(request& incoming, response& reply)
{
    auto const& uri = incoming.getURI();
    if (uri == "/v1/chat/completions")
    {
        return this->answer_chat(incoming, reply);
    }
    if (uri == "/orders")
    {
        return this->answer_order(incoming, reply);
    }
    if (uri == "/state")
    {
        return this->send_state(reply);
    }
    if (uri == "/counters")
    {
        return this->send_counters(reply);
    }
    if (uri == "/control")
    {
        return this->control(incoming, reply);
    }
    http::send_text(reply, 404, json_type, "{}");
}

void engine::answer_chat(request& incoming, response& reply)
{
    std::string body;
    http::read_body(incoming, max_body_bytes, body);
    auto const value = json::parse(body, nullptr, false);
    if (!value.is_object() || !value.contains("messages") ||
        value["messages"].empty())
    {
        return http::send_text(reply, 400, json_type, "{}");
    }
    chat wanted;
    wanted.id = incoming.get("X-Request-Id", "none");
    wanted.model = value.value("model", "");
    wanted.prompt = value["messages"].back().value("content", "");
    wanted.tokens = value.value("max_tokens", wanted.tokens);
    wanted.stream = value.value("stream", false);
    wanted.resume_from = static_cast<std::uint32_t>(
        std::strtoul(incoming.get("X-Resume-From", "0").c_str(), nullptr, 10));
    if (!this->begin(wanted))
    {
        return http::send_text(reply, 503, json_type, "{}");
    }
    try
    {
        this->run_chat(wanted, reply);
    }
    catch (std::exception const&)
    {
        reply.setKeepAlive(false);
        this->end(wanted, false);
        throw;
    }
}

bool engine::begin(chat& job)
{
    std::unique_lock lock(this->mutex);
    ++this->counters["requests"];
    this->last_begin_ms = wall_clock_ms();
    if (!this->models.contains(job.model))
    {
        ++this->counters["unknown_model"];
        return false;
    }
    this->starts.add(job.id);
    job.incarnation = this->incarnation;
    auto const cold = this->answers_since_start < this->behaviour.warm_after;
    auto const overloaded =
        cold && this->running >= this->behaviour.cold_capacity;
    this->counters["overloaded_cold"] += overloaded ? 1 : 0;
    if (job.prompt.find(crash_mark) != std::string::npos || overloaded)
    {
        this->crash();
        return false;
    }
    this->changed.wait(
        lock,
        [&]
        {
            return this->running < this->behaviour.slots ||
                   this->incarnation != job.incarnation;
        });
    if (this->incarnation != job.incarnation)
    {
        return false;
    }
    ++this->running;
    auto const peak =
        std::max<std::uint64_t>(this->counters["most_running"], this->running);
    this->counters["most_running"] = peak;
    return true;
}

void engine::end(chat& job, bool complete)
{
    {
        std::lock_guard const lock(this->mutex);
        auto const first_time = !std::exchange(job.ended, true);
        if (first_time && job.incarnation == this->incarnation)
        {
            --this->running;
            this->answers_since_start += complete ? 1 : 0;
            ++this->counters[complete ? "answers" : "broken_off"];
        }
    }
    this->changed.notify_all();
}

// Simulates a crash and restart of the process: no models are loaded, the
// engine is cold, and it reports a new instance.
void engine::crash()
{
    ++this->incarnation;
    ++this->counters["fell_over"];
    this->running = 0;
    this->answers_since_start = 0;
    this->models.clear();
    this->prefixes.clear();
    this->changed.notify_all();
}

microseconds engine::first_token_time(std::string const& prompt)
{
    auto const prefix = base::stable_hash(prompt.substr(0, prefix_bytes));
    auto const found = std::ranges::find(this->prefixes, prefix);
    auto const hit = found != this->prefixes.end();
    ++this->counters[hit ? "prefix_hits" : "prefix_misses"];
    if (hit)
    {
        this->prefixes.erase(found);
    }
    this->prefixes.push_front(prefix);
    if (this->prefixes.size() > this->behaviour.cached_prefixes)
    {
        this->prefixes.pop_back();
    }
    return hit ? this->behaviour.first_token / 2 : this->behaviour.first_token;
}

bool engine::wait_token(
    chat const& job, std::uint32_t index, std::string& token)
{
    std::unique_lock lock(this->mutex);
    auto time = index == job.resume_from ? this->first_token_time(job.prompt)
                                         : this->behaviour.token_interval;
    // Each step takes longer the fuller the batch is.
    auto const load =
        1.0 + 0.5 * this->running / static_cast<double>(this->behaviour.slots);
    time = std::chrono::duration_cast<microseconds>(
        time * (load * this->slowness));
    auto const died = this->changed.wait_for(
        lock, time,
        [&]
        {
            return this->incarnation != job.incarnation;
        });
    auto const loaded = this->models.find(job.model);
    if (died || loaded == this->models.end())
    {
        return false;
    }
    token = answer_token(loaded->second, job.prompt, index);
    return true;
}

void engine::run_chat(chat& job, response& reply)
{
    std::string text;
    std::ostream* body = nullptr;
    for (auto index = job.resume_from; index < job.tokens; ++index)
    {
        std::string token;
        if (!this->wait_token(job, index, token))
        {
            throw std::runtime_error(
                "the engine crashed or unloaded the model while it answered");
        }
        if (!job.stream)
        {
            text += token;
            continue;
        }
        if (body == nullptr)
        {
            reply.setContentType("text/event-stream");
            reply.setChunkedTransferEncoding(true);
            body = &reply.send();
        }
        *body << stream_event(job.id, token) << std::flush;
        if (!*body)
        {
            throw std::runtime_error(
                "the client closed the connection during a streamed answer");
        }
    }
    // Free the batch slot before the end of the answer is sent: a client that
    // has read the end may use the slot immediately.
    this->end(job, true);
    if (body != nullptr)
    {
        *body << "data: [DONE]\n\n" << std::flush;
        return;
    }
    http::send_text(reply, 200, json_type, completion_body(job.id, text));
}

void engine::answer_order(request& incoming, response& reply)
{
    std::string body;
    http::read_body(incoming, max_body_bytes, body);
    auto const order = json::parse(body, nullptr, false);
    if (!order.is_object())
    {
        return http::send_text(reply, 400, json_type, "{}");
    }
    auto const fencing = order.value("fencing", std::uint64_t{0});
    {
        std::lock_guard const lock(this->mutex);
        ++this->counters["orders"];
        if (this->behaviour.checks_fencing && fencing < this->highest_fencing)
        {
            ++this->counters["stale_orders"];
            return http::send_text(reply, 409, json_type, "{}");
        }
        this->highest_fencing = std::max(this->highest_fencing, fencing);
    }
    http::send_text(reply, this->load(order), json_type, "{}");
}

int engine::load(json const& order)
{
    auto const model = order.value("model", "");
    auto const digest = order.value("digest", "");
    if (order.value("kind", "") == "unload")
    {
        std::lock_guard const lock(this->mutex);
        this->models.erase(model);
        return 200;
    }
    if (!fetch_weights(order.value("source", ""), digest))
    {
        std::lock_guard const lock(this->mutex);
        ++this->counters["bad_loads"];
        return 422;
    }
    std::lock_guard const lock(this->mutex);
    ++this->counters["loads"];
    this->models[model] = digest;
    return 200;
}

void engine::send_state(response& reply)
{
    json value;
    {
        std::lock_guard const lock(this->mutex);
        value["instance"] =
            this->behaviour.name + "/" + std::to_string(this->incarnation);
        value["cold"] = this->answers_since_start < this->behaviour.warm_after;
        value["running"] = this->running;
        value["models"] = json::array();
        for (auto const& [model, digest] : this->models)
        {
            value["models"].push_back({{"model", model}, {"digest", digest}});
        }
    }
    http::send_text(reply, 200, json_type, value.dump());
}

void engine::send_counters(response& reply)
{
    json value;
    {
        std::lock_guard const lock(this->mutex);
        value = this->counters;
        value["last_begin_ms"] = this->last_begin_ms;
        value["begun"] = this->starts.to_json();
    }
    http::send_text(reply, 200, json_type, value.dump());
}

void engine::control(request& incoming, response& reply)
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
        this->slowness = value.value("slowness", this->slowness);
        if (value.value("fall_over", false))
        {
            this->crash();
        }
        if (value.value("turn_cold", false))
        {
            this->answers_since_start = 0;
        }
    }
    http::send_text(reply, 200, json_type, "{}");
}

} // namespace foxtailvale::standins
