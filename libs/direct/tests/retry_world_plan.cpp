#include "retry_world_plan.hpp"

#include <utility>

namespace foxtailvale::direct
{

namespace
{

using std::chrono::milliseconds;

milliseconds
random_time(base::random_state& random, milliseconds from, milliseconds until)
{
    auto const span = static_cast<std::uint64_t>((until - from).count());
    return from + milliseconds(base::random_below(random, span + 1));
}

void plan_round(world& state, milliseconds at)
{
    auto const in_turn = one_in(state.random, 3);
    auto const some = one_in(state.random, 3);
    auto next = course_start + at;
    for (std::size_t entry = 0; entry < state.entries.size(); ++entry)
    {
        if (some && one_in(state.random, 2))
        {
            continue;
        }
        state.kills.push_back(
            {entry, next,
             random_time(state.random, milliseconds(20), milliseconds(600))});
        next += in_turn ? milliseconds(150) : milliseconds(0);
    }
}

// Callers move to a random tenth to half of the entries, or to those of one
// failure domain, and all of them move again at most some seconds later.
void plan_moves(world& state, std::size_t count)
{
    auto at =
        state.fails_from +
        random_time(state.random, milliseconds(-4000), milliseconds(4000));
    for (std::size_t number = 0; number < count; ++number)
    {
        caller_move move{at, 50 + base::random_below(state.random, 51), {}};
        auto const of_domain = one_in(state.random, 3);
        auto const domain = base::random_below(state.random, state.domains);
        auto const one_of = 2 + base::random_below(state.random, 9);
        for (std::size_t entry = 0; entry < state.entries.size(); ++entry)
        {
            auto const is_used = of_domain
                                     ? state.entries[entry].domain == domain
                                     : one_in(state.random, one_of);
            if (is_used)
            {
                move.entries.push_back(entry);
            }
        }
        state.moves.push_back(std::move(move));
        at += random_time(state.random, milliseconds(1000), milliseconds(9000));
    }
}

void plan_holds(world& state, milliseconds length_of)
{
    auto at =
        course_start +
        random_time(state.random, milliseconds(8000), milliseconds(12000));
    for (auto number = 0; number < 2 && length_of.count() > 0; ++number)
    {
        state.holds.push_back({at, at + length_of});
        at += length_of +
              random_time(state.random, milliseconds(200), milliseconds(4000));
    }
}

// All entries stop one after the other, within a few seconds.
void plan_roll(world& state, base::time_point at)
{
    auto const length_of =
        random_time(state.random, milliseconds(3000), milliseconds(12000));
    auto const entries = state.entries.size();
    for (std::size_t entry = 0; entry < entries; ++entry)
    {
        state.stops.push_back(
            {entry,
             at + length_of * static_cast<int>(entry) /
                      static_cast<int>(entries),
             random_time(state.random, milliseconds(2600), milliseconds(7600)),
             random_time(state.random, milliseconds(20), milliseconds(600))});
    }
}

// All entries, half, a third or a quarter of them stand still at once.
void plan_pauses(world& state, retry_course const& course)
{
    if (course.pauses == 0)
    {
        return;
    }
    auto at =
        state.fails_from +
        random_time(state.random, milliseconds(-10000), milliseconds(2000));
    for (std::size_t number = 0; number < course.pauses; ++number)
    {
        auto const one_of = 1 + base::random_below(state.random, 4);
        for (std::size_t entry = 0; entry < state.entries.size(); ++entry)
        {
            if (one_in(state.random, one_of))
            {
                state.pauses.push_back({entry, at, at + course.pause});
            }
        }
        at += course.pause +
              random_time(state.random, milliseconds(-500), milliseconds(4000));
    }
}

} // namespace

bool one_in(base::random_state& random, std::uint64_t many)
{
    return base::random_below(random, many) == 0;
}

world make_world(retry_course const& course)
{
    world made;
    made.random.value = course.seed;
    made.domains = course.domains.size();
    made.fails_from = course_start;
    for (std::size_t domain = 0; domain < course.domains.size(); ++domain)
    {
        for (std::size_t entry = 0; entry < course.domains[domain]; ++entry)
        {
            made.entries.push_back({domain, course_start - before_traffic, {}});
        }
    }
    // Rounds follow each other closely, from a random moment on.
    auto const first =
        random_time(made.random, milliseconds(1000), milliseconds(12000));
    for (std::size_t round = 0; round < course.rounds_of_restarts; ++round)
    {
        plan_round(
            made,
            first + static_cast<int>(round) * milliseconds(1100) +
                random_time(made.random, milliseconds(0), milliseconds(800)));
    }
    for (std::size_t join = 0; join < course.joins; ++join)
    {
        made.entries.push_back(
            {base::random_below(made.random, made.domains),
             course_start +
                 random_time(made.random, milliseconds(0), course_length / 2),
             {}});
    }
    for (std::size_t number = 0; number < course.cuts; ++number)
    {
        auto const from =
            course_start +
            random_time(made.random, milliseconds(0), course_length / 2);
        made.cuts.push_back(
            {base::random_below(made.random, made.domains), from,
             from + random_time(
                        made.random, milliseconds(2000), milliseconds(16000))});
    }
    if (course.fails_late)
    {
        made.fails_from +=
            random_time(made.random, milliseconds(10000), milliseconds(20000));
    }
    plan_moves(made, course.moves);
    plan_holds(made, course.hold);
    for (std::size_t roll = 0; roll < course.rolls; ++roll)
    {
        plan_roll(
            made, made.fails_from + random_time(
                                        made.random, milliseconds(-6000),
                                        milliseconds(8000)));
    }
    plan_pauses(made, course);
    for (auto at = course_start;
         at < course_start + course_length && course.stall.count() > 0;)
    {
        made.stalls.push_back(at);
        at += course.stall +
              random_time(made.random, milliseconds(500), milliseconds(4000));
    }
    return made;
}

} // namespace foxtailvale::direct
