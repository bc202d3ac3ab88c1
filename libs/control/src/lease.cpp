#include <control/lease.hpp>
#include <release/object_reader.hpp>

#include <nlohmann/json.hpp>

namespace foxtailvale::control
{

std::string to_text(lease_record const& record)
{
    return nlohmann::json{{"holder", record.holder}, {"turn", record.turn}}
        .dump();
}

base::result<lease_record> parse_lease(std::string const& text)
{
    auto const source = release::parse_document("lease", text);
    auto faults = source.faults;
    release::object_reader reader(source, "", faults);
    lease_record record;
    record.holder = reader.text("holder");
    record.turn = reader.number("turn", 0, 1ULL << 62U);
    if (!faults.empty())
    {
        return base::fail(
            base::error_kind::bad_frame, describe(source, faults));
    }
    return record;
}

void lease_seen(lease_state& state, std::uint64_t version, base::time_point now)
{
    if (state.seen && state.version == version)
    {
        return;
    }
    state.seen = true;
    state.version = version;
    state.seen_since = now;
}

bool may_take_lease(lease_state const& state, base::time_point now)
{
    if (holds_lease(state, now))
    {
        return true;
    }
    // Version zero means that the object does not exist: the lease was never
    // held.
    if (state.seen && state.version == 0)
    {
        return true;
    }
    return state.seen && now - state.seen_since >= lease_length;
}

void lease_taken(
    lease_state& state, std::uint64_t version, base::time_point sent_at)
{
    state.seen = true;
    state.version = version;
    state.seen_since = sent_at;
    state.held_until = sent_at + lease_length;
}

void lease_refused(lease_state& state)
{
    state.held_until.reset();
    state.seen = false;
}

bool holds_lease(lease_state const& state, base::time_point now)
{
    return state.held_until && now < *state.held_until;
}

} // namespace foxtailvale::control
