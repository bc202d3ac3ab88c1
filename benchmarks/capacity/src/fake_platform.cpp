#include "fake_platform.hpp"

#include <nlohmann/json.hpp>

namespace foxtailvale::capacity
{

namespace
{

using nlohmann::json;

char const* kind_of(core::platform_method method)
{
    switch (method)
    {
    case core::platform_method::put:
        return "write";
    case core::platform_method::watch:
        return "watch";
    default:
        return "read";
    }
}

core::platform_answer success(
    core::platform_call const& call, std::uint64_t version, std::string value)
{
    core::platform_answer answer;
    answer.id = call.id;
    answer.ok = true;
    answer.version = version;
    answer.value = std::move(value);
    return answer;
}

core::platform_answer
failure(core::platform_call const& call, base::error_kind kind)
{
    core::platform_answer answer;
    answer.id = call.id;
    answer.error = kind;
    return answer;
}

} // namespace

fake_platform::fake_platform(std::string vm_list) : vms(std::move(vm_list))
{
}

void fake_platform::write(std::string const& path, std::string value)
{
    this->objects[path] = {++this->last_version, std::move(value)};
}

void fake_platform::submit(
    core::platform_call const& call, base::time_point now)
{
    ++this->call_counts[kind_of(call.method)];
    this->waiting.push_back({call, now + call.wait});
}

core::platform_answer fake_platform::put(core::platform_call const& call)
{
    auto& entry = this->objects[call.path];
    if (entry.version != call.expected)
    {
        return failure(call, base::error_kind::platform_conflict);
    }
    entry = {++this->last_version, call.value};
    return success(call, entry.version, {});
}

std::string fake_platform::list(std::string const& prefix) const
{
    json listed = json::array();
    for (auto const& [path, entry] : this->objects)
    {
        if (path.starts_with(prefix))
        {
            listed.push_back(
                {{"path", path},
                 {"version", entry.version},
                 {"value", entry.value}});
        }
    }
    return json{{"objects", std::move(listed)}}.dump();
}

std::optional<core::platform_answer>
fake_platform::try_answer(waiting_call const& next, base::time_point now)
{
    auto const& call = next.call;
    auto const entry = this->objects.find(call.path);
    auto const exists = entry != this->objects.end();
    switch (call.method)
    {
    case core::platform_method::vms:
        return success(call, 1, this->vms);
    case core::platform_method::list:
        return success(call, this->last_version, this->list(call.path));
    case core::platform_method::put:
        return this->put(call);
    case core::platform_method::watch:
        if (exists && entry->second.version > call.expected)
        {
            return success(call, entry->second.version, entry->second.value);
        }
        if (now < next.until)
        {
            return std::nullopt;
        }
        return failure(call, base::error_kind::not_found);
    default:
        break;
    }
    if (exists)
    {
        return success(call, entry->second.version, entry->second.value);
    }
    return failure(call, base::error_kind::not_found);
}

std::vector<core::platform_answer>
fake_platform::take_answers(base::time_point now)
{
    std::vector<core::platform_answer> due;
    std::vector<waiting_call> pending;
    for (auto const& next : this->waiting)
    {
        auto answer = this->try_answer(next, now);
        if (answer)
        {
            this->bytes += answer->value.size();
            due.push_back(std::move(*answer));
        }
        else
        {
            pending.push_back(next);
        }
    }
    this->waiting = std::move(pending);
    return due;
}

std::map<std::string, std::uint64_t> const& fake_platform::calls() const
{
    return this->call_counts;
}

std::uint64_t fake_platform::bytes_answered() const
{
    return this->bytes;
}

} // namespace foxtailvale::capacity
