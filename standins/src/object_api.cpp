#include <Poco/URI.h>
#include <standins/object_api.hpp>

#include <algorithm>
#include <ostream>
#include <thread>

namespace foxtailvale::standins
{

namespace
{

using nlohmann::json;

constexpr std::uint64_t max_body_bytes = 4U * 1024U * 1024U;
constexpr std::size_t max_value_bytes = 1024U * 1024U;
constexpr std::chrono::milliseconds max_wait{60'000};
constexpr char const* json_type = "application/json";

bool take_prefix(std::string const& uri, char const* prefix, std::string& rest)
{
    std::string const text(prefix);
    if (!uri.starts_with(text))
    {
        return false;
    }
    rest = uri.substr(text.size());
    return true;
}

} // namespace

object_api::object_api(http::server_options const& options, json vm_list)
    : vms(std::move(vm_list)), listener(
                                   options,
                                   [this](request& incoming, response& reply)
                                   {
                                       this->answer(incoming, reply);
                                   })
{
}

void object_api::answer(request& incoming, response& reply)
{
    auto const& uri = incoming.getURI();
    if (uri == "/control")
    {
        this->control(incoming, reply);
        return;
    }
    if (uri == "/counters")
    {
        this->send_counters(reply);
        return;
    }
    faults injected;
    {
        std::lock_guard const lock(this->mutex);
        ++this->counters["calls"];
        injected = this->fault;
    }
    std::this_thread::sleep_for(injected.delay);
    if (injected.outage)
    {
        http::send_text(reply, 503, json_type, "{}");
        return;
    }
    if (!this->admit(incoming))
    {
        http::send_text(reply, 429, json_type, "{}");
        return;
    }
    this->answer_call(incoming, reply);
}

bool object_api::admit(request const& incoming)
{
    auto const& method = incoming.getMethod();
    auto const writes = method == "PUT" || method == "DELETE";
    std::lock_guard const lock(this->mutex);
    auto const admitted = take(
        writes ? this->write_rate : this->read_rate, 1,
        std::chrono::steady_clock::now());
    this->counters["throttled"] += admitted ? 0 : 1;
    return admitted;
}

void object_api::answer_call(request& incoming, response& reply)
{
    auto const& uri = incoming.getURI();
    std::string path;
    if (uri == "/vms")
    {
        this->send_vms(incoming, reply);
    }
    else if (take_prefix(uri, "/objects/", path))
    {
        if (incoming.getMethod() == "PUT")
        {
            this->put(path, incoming, reply);
        }
        else if (incoming.getMethod() == "DELETE")
        {
            this->remove(path, reply);
        }
        else
        {
            this->get(path, reply);
        }
    }
    else if (take_prefix(uri, "/list/", path))
    {
        this->list(path, reply);
    }
    else if (uri.starts_with("/watch/"))
    {
        this->watch(uri, reply);
    }
    else
    {
        http::send_text(reply, 404, json_type, "{}");
    }
}

void object_api::send_object(object const& found, response& reply)
{
    reply.set("X-Version", std::to_string(found.version));
    http::send_text(reply, 200, json_type, found.value);
}

void object_api::get(std::string const& path, response& reply)
{
    object found;
    {
        std::lock_guard const lock(this->mutex);
        ++this->counters["reads"];
        auto const entry = this->objects.find(path);
        if (entry != this->objects.end())
        {
            found = entry->second;
        }
    }
    if (found.version == 0)
    {
        http::send_text(reply, 404, json_type, "{}");
        return;
    }
    this->send_object(found, reply);
}

void object_api::put(
    std::string const& path, request& incoming, response& reply)
{
    auto const expected =
        std::strtoull(incoming.get("If-Match", "0").c_str(), nullptr, 10);
    std::string value;
    if (!http::read_body(incoming, max_body_bytes, value) ||
        value.size() > max_value_bytes)
    {
        http::send_text(reply, 413, json_type, "{}");
        return;
    }
    std::uint64_t version = 0;
    {
        std::lock_guard const lock(this->mutex);
        ++this->counters["writes"];
        auto const entry = this->objects.find(path);
        auto const current =
            entry == this->objects.end() ? 0 : entry->second.version;
        if (current == expected)
        {
            version = ++this->last_version;
            this->objects[path] = {version, std::move(value)};
        }
        else
        {
            ++this->counters["conflicts"];
        }
    }
    this->changed.notify_all();
    if (version == 0)
    {
        http::send_text(reply, 412, json_type, "{}");
        return;
    }
    if (this->lose_answer())
    {
        http::send_text(reply, 503, json_type, "{}");
        return;
    }
    reply.set("X-Version", std::to_string(version));
    http::send_text(reply, 200, json_type, "{}");
}

bool object_api::lose_answer()
{
    std::lock_guard const lock(this->mutex);
    if (this->fault.lost_answers == 0)
    {
        return false;
    }
    --this->fault.lost_answers;
    return true;
}

void object_api::remove(std::string const& path, response& reply)
{
    std::size_t removed = 0;
    {
        std::lock_guard const lock(this->mutex);
        ++this->counters["writes"];
        removed = this->objects.erase(path);
    }
    http::send_text(reply, removed == 0 ? 404 : 200, json_type, "{}");
}

void object_api::watch(std::string const& uri, response& reply)
{
    Poco::URI const parsed(uri);
    auto const path = parsed.getPath().substr(std::string("/watch/").size());
    std::uint64_t after = 0;
    std::chrono::milliseconds wait{0};
    for (auto const& [name, text] : parsed.getQueryParameters())
    {
        auto const value = std::strtoull(text.c_str(), nullptr, 10);
        if (name == "after")
        {
            after = value;
        }
        else if (name == "wait_ms")
        {
            wait = std::chrono::milliseconds(value);
        }
    }
    object found;
    auto gone = false;
    {
        std::unique_lock lock(this->mutex);
        ++this->counters["watches"];
        gone = after < this->fault.compacted;
        this->counters["gone"] += gone ? 1 : 0;
        wait = gone ? std::chrono::milliseconds(0) : wait;
        auto const is_newer = [&]
        {
            auto const entry = this->objects.find(path);
            return this->fault.outage || (entry != this->objects.end() &&
                                          entry->second.version > after);
        };
        this->changed.wait_for(lock, std::min(wait, max_wait), is_newer);
        auto const entry = this->objects.find(path);
        if (entry != this->objects.end() && entry->second.version > after)
        {
            found = entry->second;
        }
    }
    if (gone)
    {
        http::send_text(reply, 410, json_type, "{}");
        return;
    }
    if (found.version == 0)
    {
        reply.setStatusAndReason(Poco::Net::HTTPResponse::HTTP_NO_CONTENT);
        reply.setContentLength(0);
        reply.send();
        return;
    }
    this->send_object(found, reply);
}

void object_api::list(std::string const& prefix, response& reply)
{
    json found = json::array();
    {
        std::lock_guard const lock(this->mutex);
        ++this->counters["reads"];
        for (auto const& [path, entry] : this->objects)
        {
            if (path.starts_with(prefix))
            {
                found.push_back(
                    {{"path", path},
                     {"version", entry.version},
                     {"value", entry.value}});
            }
        }
    }
    http::send_text(
        reply, 200, json_type, json{{"objects", std::move(found)}}.dump());
}

void object_api::send_vms(request& incoming, response& reply)
{
    auto const known =
        std::strtoull(incoming.get("If-None-Match", "0").c_str(), nullptr, 10);
    std::string text;
    std::uint64_t version = 0;
    {
        std::lock_guard const lock(this->mutex);
        ++this->counters["reads"];
        version = this->vms_version;
        if (version != known)
        {
            text = json{{"vms", this->vms}}.dump();
        }
    }
    reply.set("X-Version", std::to_string(version));
    if (version == known)
    {
        reply.setStatusAndReason(Poco::Net::HTTPResponse::HTTP_NOT_MODIFIED);
        reply.setContentLength(0);
        reply.send();
        return;
    }
    http::send_text(reply, 200, json_type, text);
}

void object_api::control(request& incoming, response& reply)
{
    std::string text;
    http::read_body(incoming, max_body_bytes, text);
    auto const value = json::parse(text, nullptr, false);
    if (!value.is_object())
    {
        http::send_text(reply, 400, json_type, "{}");
        return;
    }
    {
        std::lock_guard const lock(this->mutex);
        this->change_faults(value);
    }
    this->changed.notify_all();
    http::send_text(reply, 200, json_type, "{}");
}

void object_api::change_faults(json const& value)
{
    auto& injected = this->fault;
    injected.outage = value.value("outage", injected.outage);
    injected.delay = std::chrono::milliseconds(
        value.value("delay_ms", injected.delay.count()));
    injected.lost_answers = value.value("lost_answers", injected.lost_answers);
    this->read_rate.per_second =
        value.value("reads_per_second", this->read_rate.per_second);
    this->write_rate.per_second =
        value.value("writes_per_second", this->write_rate.per_second);
    if (value.value("compact", false))
    {
        injected.compacted = this->last_version;
    }
    if (value.contains("vms"))
    {
        this->vms = value["vms"];
        ++this->vms_version;
    }
}

void object_api::send_counters(response& reply)
{
    json value;
    {
        std::lock_guard const lock(this->mutex);
        value = this->counters;
    }
    http::send_text(reply, 200, json_type, value.dump());
}

} // namespace foxtailvale::standins
