#include <direct/endpoint_table.hpp>
#include <direct/store_restore.hpp>

#include <algorithm>
#include <cmath>

namespace foxtailvale::direct
{

namespace
{

// Weight of the latest answer in the share of faults: an endpoint is rated by
// about its last ten answers.
constexpr double latest_fault_weight = 0.1;

// The weight of faults halves in this time, so that an endpoint that has
// recovered is tried again.
constexpr std::chrono::duration<double> fault_half_life{3};

constexpr std::chrono::milliseconds initial_avoidance{300};
constexpr std::chrono::milliseconds max_avoidance{2400};

// An endpoint that rejected a request as full completes another one within
// about this time.
constexpr std::chrono::milliseconds full_avoidance{60};

// For endpoints that hold other weights than listed. The list, or the agent,
// shows the actual weights within this time. Failure: all machines lose power
// and engines restart empty while the list still shows their former weights;
// every request is rejected until the retry budget of 10 s is spent.
constexpr std::chrono::milliseconds misdirected_avoidance{1000};

// Send times are kept for at least as long as any check of a cold endpoint's
// limit looks back.
constexpr std::chrono::seconds recent_time{3};

// Tolerance for equal reports. Agents report ten times a second; the delays of
// one report over two entries differ by less than half of that interval.
constexpr std::chrono::milliseconds same_report{50};

std::string ip_of(std::string const& address)
{
    return address.substr(0, address.rfind(':'));
}

void remove_from_index(
    endpoint_table& table, std::string const& id, std::string const& address)
{
    auto const found = table.ids_by_ip.find(ip_of(address));
    if (found == table.ids_by_ip.end())
    {
        return;
    }
    found->second.erase(id);
    if (found->second.empty())
    {
        table.ids_by_ip.erase(found);
    }
}

void set_removal_due(
    endpoint_table& table, endpoint_state& state, base::time_point due)
{
    state.removal_due = due;
    table.next_removal = std::min(table.next_removal.value_or(due), due);
}

// Removes the endpoints whose removal is due.
void remove_due(endpoint_table& table, base::time_point now)
{
    table.next_removal.reset();
    for (auto next = table.endpoints.begin(); next != table.endpoints.end();)
    {
        auto const position = next++;
        auto& [id, state] = *position;
        if (!state.removal_due)
        {
            continue;
        }
        if (*state.removal_due > now)
        {
            set_removal_due(table, state, *state.removal_due);
            continue;
        }
        remove_from_index(table, id, state.listed.address);
        table.endpoints.erase(position);
    }
}

void decay_faults(endpoint_state& state, base::time_point now)
{
    auto const passed = std::chrono::duration<double>(now - state.last_fault);
    state.fault_share *= std::exp2(-(passed / fault_half_life));
    state.last_fault = now;
}

void note_answer(endpoint_state& state, bool fault, base::time_point now)
{
    decay_faults(state, now);
    state.fault_share +=
        latest_fault_weight * ((fault ? 1.0 : 0.0) - state.fault_share);
}

void take_report(
    endpoint_state& state, load_report const& report, base::time_point now)
{
    if (state.report && state.report->weights != report.weights)
    {
        state.avoid_until = {};
    }
    state.report = report;
    state.reported = now;
    state.own_delta = 0;
}

// Returns the number of this entry's requests that began after this time.
std::int32_t begun_since(endpoint_state const& state, base::time_point then)
{
    return static_cast<std::int32_t>(std::ranges::count_if(
        state.recent,
        [then](base::time_point at)
        {
            return at > then;
        }));
}

} // namespace

bool participates_in_transfer(
    endpoint_record const& endpoint, std::string const& service)
{
    return endpoint.service == service && !endpoint.draining;
}

bool put(endpoint_table& table, endpoint_record record)
{
    note_present(table, record.id);
    auto& state = table.endpoints[record.id];
    state.removal_due.reset();
    if (state.listed == record)
    {
        return false;
    }
    if (state.listed.address != record.address ||
        state.listed.started_ms != record.started_ms)
    {
        // Another process, which has not read what the former one was sent.
        state.view = {};
    }
    if (state.listed.address != record.address)
    {
        state.report.reset();
        remove_from_index(table, record.id, state.listed.address);
        table.ids_by_ip[ip_of(record.address)].insert(record.id);
    }
    if (state.listed.weights != record.weights)
    {
        state.avoid_until = {};
    }
    state.listed = std::move(record);
    return true;
}

void remove(
    endpoint_table& table,
    std::string const& id,
    bool list_was_lost,
    base::time_point now)
{
    discard_withheld(table, id);
    auto const found = table.endpoints.find(id);
    if (found == table.endpoints.end())
    {
        return;
    }
    if (list_was_lost && !found->second.listed.draining)
    {
        if (!found->second.removal_due)
        {
            set_removal_due(table, found->second, now + removal_grace);
        }
        return;
    }
    note_departed(table, id, now);
    remove_from_index(table, id, found->second.listed.address);
    table.endpoints.erase(found);
}

void replace_all(
    endpoint_table& table,
    std::vector<endpoint_record> records,
    bool list_was_lost,
    base::time_point now)
{
    std::set<std::string> listed;
    for (auto& record : records)
    {
        listed.insert(record.id);
        if (!withhold(table, record, now))
        {
            put(table, std::move(record));
        }
    }
    std::vector<std::string> missing;
    for (auto const& [id, state] : table.endpoints)
    {
        if (!listed.contains(id))
        {
            missing.push_back(id);
        }
    }
    auto const may_lack = list_was_lost || may_lack_endpoints(table, now);
    for (auto const& id : missing)
    {
        remove(table, id, may_lack, now);
    }
}

std::set<std::string>
endpoints_at(endpoint_table const& table, std::string const& ip)
{
    auto const found = table.ids_by_ip.find(ip);
    return found != table.ids_by_ip.end() ? found->second
                                          : std::set<std::string>();
}

std::size_t count_of(endpoint_table const& table, std::string const& service)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        table.endpoints,
        [&service](auto const& entry)
        {
            return entry.second.listed.service == service;
        }));
}

void expire(endpoint_table& table, base::time_point now)
{
    if (table.next_removal && *table.next_removal <= now)
    {
        remove_due(table, now);
    }
    for (auto& record : take_released(table, now))
    {
        put(table, std::move(record));
    }
}

void note_report(
    endpoint_table& table,
    std::string const& address,
    load_report const& report,
    base::time_point now)
{
    for (auto const& id : endpoints_at(table, address))
    {
        take_report(table.endpoints.at(id), report, now);
    }
}

void note_relayed_report(
    endpoint_table& table,
    std::string const& address,
    load_report const& report,
    base::time_point as_of)
{
    for (auto const& id : endpoints_at(table, address))
    {
        auto& state = table.endpoints.at(id);
        if (!state.report || as_of > state.reported + same_report)
        {
            take_report(state, report, as_of);
            state.own_delta = begun_since(state, as_of);
        }
    }
}

void note_request_begun(
    endpoint_table& table, std::string const& id, base::time_point now)
{
    auto const found = table.endpoints.find(id);
    if (found == table.endpoints.end())
    {
        return;
    }
    auto& state = found->second;
    if (state.own_running == 0)
    {
        state.last_heard = now;
    }
    ++state.own_running;
    ++state.own_delta;
    state.limit.last_sent = now;
    state.recent.push_back(now);
    while (state.recent.front() + recent_time < now)
    {
        state.recent.pop_front();
    }
}

void note_prompt_sent(
    endpoint_table& table,
    std::string const& id,
    std::uint64_t tokens,
    base::time_point now)
{
    auto const found = table.endpoints.find(id);
    if (found != table.endpoints.end())
    {
        scheduling::note_sent(found->second.view, tokens, now);
    }
}

void note_request_ended(
    endpoint_table& table,
    std::string const& id,
    request_outcome outcome,
    base::time_point now)
{
    auto const found = table.endpoints.find(id);
    if (found == table.endpoints.end())
    {
        return;
    }
    auto& state = found->second;
    state.own_running -= std::min<std::uint32_t>(1, state.own_running);
    --state.own_delta;
    if (outcome == request_outcome::answered ||
        outcome == request_outcome::faulty)
    {
        note_answer(state, outcome == request_outcome::faulty, now);
    }
    if (outcome == request_outcome::answered)
    {
        state.connect_faults = 0;
    }
    if (outcome == request_outcome::declined)
    {
        state.avoid_until = now + full_avoidance;
    }
    if (outcome == request_outcome::misdirected)
    {
        state.avoid_until = now + misdirected_avoidance;
    }
    if (outcome == request_outcome::not_connected)
    {
        auto const doublings = std::min<std::uint32_t>(state.connect_faults, 3);
        state.avoid_until =
            now + std::min<std::chrono::milliseconds>(
                      initial_avoidance * (1 << doublings), max_avoidance);
        ++state.connect_faults;
    }
}

void note_heard(
    endpoint_table& table, std::string const& id, base::time_point now)
{
    auto const found = table.endpoints.find(id);
    if (found != table.endpoints.end())
    {
        found->second.last_heard = now;
        found->second.last_sent = now;
    }
}

bool is_stalled(endpoint_state const& state, base::time_point now)
{
    return state.own_running > 0 && now - state.last_heard > stall_time;
}

bool is_fresh(endpoint_state const& state, base::time_point now)
{
    return state.report && now - state.reported <= report_timeout;
}

bool is_unresponsive(endpoint_state const& state, base::time_point now)
{
    return state.report && !is_fresh(state, now) &&
           now - state.last_sent > report_timeout;
}

bool is_reported_reachable(endpoint_state const& state, base::time_point now)
{
    return is_fresh(state, now) && !state.report->unreachable;
}

served_weights const&
weights_of(endpoint_state const& state, base::time_point now)
{
    return is_reported_reachable(state, now) ? state.report->weights
                                             : state.listed.weights;
}

} // namespace foxtailvale::direct
