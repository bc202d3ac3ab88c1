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

constexpr std::uint64_t most_body_bytes = 4U * 1024U * 1024U;
constexpr std::size_t prefix_bytes = 64;
constexpr char const* json_type = "application/json";
// A prompt that holds this text crashes every engine that runs it.
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

std::string whole_answer(std::string const& id, std::string const& text)
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

// Fetches a version from the agent and checks it against its digest; false
// when it is not whole.
bool fetch_weights(std::string const& source, std::string const& digest)
{
    http::request ask;
    ask.base = source;
    ask.path = "/weights/" + digest + "/manifest";
    auto const text = http::call(ask);
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
        ask.path = "/weights/" + digest + "/chunks/" + std::to_string(index);
        auto const chunk = http::call(ask);
        if (!chunk || chunk.value().status != 200 ||
            base::sha256_hex(chunk.value().body) != chunks[index])
        {
            return false;
        }
    }
    return true;
}

} // namespace

engine::engine(http::server_options const& options, engine_options how)
    : behaviour(std::move(how)), listener(
                                     options,
                                     [this](request& ask, response& reply)
                                     {
                                         this->answer(ask, reply);
                                     })
{
}

void engine::answer(request& ask, response& reply)
{
    auto const& uri = ask.getURI();
    if (uri == "/v1/chat/completions")
    {
        return this->answer_chat(ask, reply);
    }
    if (uri == "/orders")
    {
        return this->answer_order(ask, reply);
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
        return this->control(ask, reply);
    }
    http::send_text(reply, 404, json_type, "{}");
}

void engine::answer_chat(request& ask, response& reply)
{
    std::string body;
    http::read_body(ask, most_body_bytes, body);
    auto const value = json::parse(body, nullptr, false);
    if (!value.is_object() || !value.contains("messages") ||
        value["messages"].empty())
    {
        return http::send_text(reply, 400, json_type, "{}");
    }
    chat wanted;
    wanted.id = ask.get("X-Request-Id", "none");
    wanted.model = value.value("model", "");
    wanted.prompt = value["messages"].back().value("content", "");
    wanted.tokens = value.value("max_tokens", wanted.tokens);
    wanted.stream = value.value("stream", false);
    wanted.resume_from = static_cast<std::uint32_t>(
        std::strtoul(ask.get("X-Resume-From", "0").c_str(), nullptr, 10));
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

bool engine::begin(chat& ask)
{
    std::unique_lock lock(this->mutex);
    ++this->counters["requests"];
    this->last_begin_ms = wall_clock_ms();
    if (!this->models.contains(ask.model))
    {
        ++this->counters["unknown_model"];
        return false;
    }
    this->begun.add(ask.id);
    ask.life = this->life;
    auto const cold = this->answers_since_start < this->behaviour.warm_after;
    auto const overloaded = cold && this->running >= this->behaviour.cold_bears;
    this->counters["overloaded_cold"] += overloaded ? 1 : 0;
    if (ask.prompt.find(crash_mark) != std::string::npos || overloaded)
    {
        this->fall_over();
        return false;
    }
    this->changed.wait(
        lock,
        [&]
        {
            return this->running < this->behaviour.slots ||
                   this->life != ask.life;
        });
    if (this->life != ask.life)
    {
        return false;
    }
    ++this->running;
    auto const most =
        std::max<std::uint64_t>(this->counters["most_running"], this->running);
    this->counters["most_running"] = most;
    return true;
}

void engine::end(chat& ask, bool whole)
{
    {
        std::lock_guard const lock(this->mutex);
        auto const first_time = !std::exchange(ask.ended, true);
        if (first_time && ask.life == this->life)
        {
            --this->running;
            this->answers_since_start += whole ? 1 : 0;
            ++this->counters[whole ? "answers" : "broken_off"];
        }
    }
    this->changed.notify_all();
}

// The process dies and is started again: empty, cold, with a new instance.
void engine::fall_over()
{
    ++this->life;
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
    chat const& ask, std::uint32_t index, std::string& token)
{
    std::unique_lock lock(this->mutex);
    auto time = index == ask.resume_from ? this->first_token_time(ask.prompt)
                                         : this->behaviour.token_interval;
    // A fuller batch makes each step a little slower.
    auto const load =
        1.0 + 0.5 * this->running / static_cast<double>(this->behaviour.slots);
    time = std::chrono::duration_cast<microseconds>(
        time * (load * this->slowness));
    auto const died = this->changed.wait_for(
        lock, time,
        [&]
        {
            return this->life != ask.life;
        });
    auto const loaded = this->models.find(ask.model);
    if (died || loaded == this->models.end())
    {
        return false;
    }
    token = answer_token(loaded->second, ask.prompt, index);
    return true;
}

void engine::run_chat(chat& ask, response& reply)
{
    std::string text;
    std::ostream* body = nullptr;
    for (auto index = ask.resume_from; index < ask.tokens; ++index)
    {
        std::string token;
        if (!this->wait_token(ask, index, token))
        {
            throw std::runtime_error("the engine fell over");
        }
        if (!ask.stream)
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
        *body << stream_event(ask.id, token) << std::flush;
        if (!*body)
        {
            throw std::runtime_error("the reader went away");
        }
    }
    // The batch's slot is free with the last token; whoever reads the end may
    // use it at once.
    this->end(ask, true);
    if (body != nullptr)
    {
        *body << "data: [DONE]\n\n" << std::flush;
        return;
    }
    http::send_text(reply, 200, json_type, whole_answer(ask.id, text));
}

void engine::answer_order(request& ask, response& reply)
{
    std::string body;
    http::read_body(ask, most_body_bytes, body);
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
            this->behaviour.name + "/" + std::to_string(this->life);
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
        value["begun"] = this->begun.to_json();
    }
    http::send_text(reply, 200, json_type, value.dump());
}

void engine::control(request& ask, response& reply)
{
    std::string text;
    http::read_body(ask, most_body_bytes, text);
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
            this->fall_over();
        }
        if (value.value("turn_cold", false))
        {
            this->answers_since_start = 0;
        }
    }
    http::send_text(reply, 200, json_type, "{}");
}

} // namespace foxtailvale::standins
