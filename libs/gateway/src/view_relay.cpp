#include "fetch.hpp"

#include <gateway/view_relay.hpp>
#include <kernel/events.hpp>
#include <proto/foxtailvale.pb.h>

#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace foxtailvale::gateway
{

namespace
{

using std::chrono::milliseconds;

// Followers ask this often; two questions may be lost before one of them takes
// its views for old.
constexpr milliseconds round_time{250};

// The same for one that knows nothing yet.
constexpr milliseconds start_round_time{60};

// Rounds between two announcements of a watcher.
constexpr std::uint64_t announce_rounds = 2;

// A page of 29 KB takes a few milliseconds, across regions too; a large one
// waits behind callers' answers on a link that is full.
constexpr milliseconds page_limit{2500};

// A question that was not answered by then never will be.
constexpr milliseconds answer_limit{2000};

// The configuration is confirmed every 0.8 s by its watch, as of the beginning
// of the watch; a quarter of a second is for a slow store.
constexpr milliseconds freshest{1900};

// A page that others ask for, too, is made once in this time. Failure: 145
// entries started together, and the one that handed them the lists compressed
// each list for each of them.
constexpr milliseconds page_life{250};

constexpr std::string_view page_root = "/views/";

// Differences between entries in how soon they begin to watch.
constexpr std::uint64_t jitter_ms = 1500;

std::uint64_t age_of(std::optional<base::boot_time> then)
{
    auto const now = base::boot_now();
    return static_cast<std::uint64_t>(
        std::max<std::int64_t>(0, (now - then.value_or(now)).count()));
}

direct::watch_status word_of(wire::ViewNotice const& notice)
{
    if (notice.fresh())
    {
        return direct::watch_status::fresh;
    }
    return notice.watching() ? direct::watch_status::looking
                             : direct::watch_status::not_watching;
}

// A number at the front of the text, which is taken off.
std::optional<std::uint64_t> take_number(std::string_view& text)
{
    std::uint64_t number = 0;
    auto const parsed =
        std::from_chars(text.data(), text.data() + text.size(), number);
    if (parsed.ec != std::errc{})
    {
        return std::nullopt;
    }
    text.remove_prefix(static_cast<std::size_t>(parsed.ptr - text.data()));
    return number;
}

platform::store_position mark_of(wire::ViewMark const& told)
{
    return {told.era(), told.revision()};
}

void set_mark(wire::ViewMark& told, view_feed const& feed)
{
    told.set_kind(static_cast<std::uint32_t>(feed.kind()));
    told.set_era(feed.mark().era);
    told.set_revision(feed.mark().revision);
    if (feed.is_ahead())
    {
        told.set_in_force(feed.in_force());
    }
}

// A page's path: the kind, the era and the revision that the asker knows.
std::string
page_target(std::uint32_t kind, platform::store_position const& known)
{
    return std::string(page_root) + std::to_string(kind) + "/" +
           std::to_string(known.era) + "/" + std::to_string(known.revision);
}

struct asked_page
{
    std::uint32_t kind = 0;
    platform::store_position known;
};

std::optional<asked_page> read_target(std::string_view target)
{
    if (!target.starts_with(page_root))
    {
        return std::nullopt;
    }
    target.remove_prefix(page_root.size());
    std::array<std::uint64_t, 3> numbers{};
    for (auto& number : numbers)
    {
        auto const taken = take_number(target);
        if (!taken)
        {
            return std::nullopt;
        }
        number = *taken;
        target.remove_prefix(std::min<std::size_t>(target.size(), 1));
    }
    return asked_page{
        static_cast<std::uint32_t>(numbers[0]), {numbers[1], numbers[2]}};
}

} // namespace

view_relay::view_relay(
    std::shared_ptr<entry_context> shared,
    std::vector<std::shared_ptr<view_feed>> kept)
    : context(std::move(shared)), feeds(std::move(kept)),
      page_door(this->make_page_door()), timer(this->context->loop)
{
    this->duty.own = this->context->settings.ip;
    this->duty.own_domain = this->context->settings.failure_domain;
    this->duty.jitter =
        milliseconds(base::random_below(this->context->random, jitter_ms));
    this->duty.seeds = this->context->settings.seeds;
    direct::begin(this->duty, base::boot_now());
}

std::optional<std::string> view_relay::start()
{
    auto const& settings = this->context->settings;
    boost::system::error_code error;
    auto const ip = boost::asio::ip::make_address(settings.ip, error);
    if (error)
    {
        return "ip: " + error.message();
    }
    if (auto fault = this->page_door->listen({ip, settings.peer_port}))
    {
        return fault;
    }
    for (auto const& feed : this->feeds)
    {
        feed->on_change = [self = this->weak_from_this()]
        {
            if (auto const held = self.lock())
            {
                held->plan_push();
            }
        };
        if (this->duty.watching)
        {
            feed->start_watch();
        }
    }
    this->run_round();
    return std::nullopt;
}

void view_relay::retire()
{
    this->retired = true;
    this->announce();
}

void view_relay::stop()
{
    this->stopped = true;
    this->timer.cancel();
    this->page_door->stop();
    for (auto const& feed : this->feeds)
    {
        feed->stop_watch();
    }
}

void view_relay::run_round()
{
    ++this->rounds;
    this->follow_duty();
    if (this->duty.watching)
    {
        if (this->rounds % announce_rounds == 0)
        {
            this->announce();
        }
    }
    else
    {
        this->ask_sources();
    }
    this->timer.expires_after(this->time_to_next_round());
    this->timer.async_wait(
        [self = this->shared_from_this()](boost::system::error_code error)
        {
            if (!error && !self->stopped)
            {
                self->run_round();
            }
        });
}

milliseconds view_relay::time_to_next_round()
{
    if (!this->duty.watching && !this->knows_all())
    {
        return start_round_time;
    }
    if (!std::exchange(this->is_in_step, true))
    {
        // Not all in the same step: whoever begins to watch is heard by the
        // others before they decide.
        return milliseconds(base::random_below(
            this->context->random,
            static_cast<std::uint64_t>(round_time.count())));
    }
    return round_time;
}

void view_relay::follow_duty()
{
    auto const before = this->duty.watching;
    this->duty.neighbours = this->context->neighbours.size();
    auto const now =
        direct::decide(this->duty, this->is_fresh(), base::boot_now());
    if (before != now)
    {
        this->change_duty();
    }
}

void view_relay::change_duty()
{
    auto const now = this->duty.watching;
    kernel::log_event(
        now ? kernel::event_id::watching_began
            : kernel::event_id::watching_ended,
        {{"watchers", this->duty.watchers.size()},
         {"entries", this->context->entry_addresses.size()},
         {"fresh", this->is_fresh()},
         {"view_age_ms", age_of(this->context->confirmed)}});
    this->followed.clear();
    for (auto const& feed : this->feeds)
    {
        if (now)
        {
            feed->start_watch();
        }
        else
        {
            feed->stop_watch();
        }
    }
    // Others that would begin, too, hear of it at once, and so do those that
    // would leave it to this one.
    this->tell_all();
}

bool view_relay::knows_all() const
{
    return std::ranges::all_of(
        this->feeds,
        [](std::shared_ptr<view_feed> const& feed)
        {
            return feed->mark().revision > 0;
        });
}

bool view_relay::is_fresh() const
{
    return !this->retired && this->context->confirmed &&
           base::boot_now() - *this->context->confirmed <= freshest;
}

wire::Datagram view_relay::notice(std::uint64_t token) const
{
    wire::Datagram message;
    message.set_from(this->context->settings.name);
    auto& told = *message.mutable_view_notice();
    told.set_failure_domain(this->context->settings.failure_domain);
    told.set_token(token);
    told.set_watching(this->duty.watching && !this->retired);
    std::size_t known = 1;
    for (auto const& [domain, entries] : this->askers)
    {
        known += entries.size();
    }
    told.set_entries(static_cast<std::uint32_t>(known));
    told.set_fresh(this->duty.watching && this->is_fresh());
    if (!this->duty.watching)
    {
        for (auto const& watcher :
             direct::sources(this->duty, base::boot_now()))
        {
            told.add_watchers(watcher);
        }
        return message;
    }
    for (auto const& feed : this->feeds)
    {
        if (!feed->confirmed())
        {
            continue;
        }
        auto& mark = *told.add_marks();
        set_mark(mark, *feed);
        mark.set_age_ms(age_of(feed->confirmed()));
    }
    return message;
}

void view_relay::announce()
{
    if (this->duty.watching)
    {
        this->tell_all();
    }
}

void view_relay::tell_all()
{
    auto told = this->context->entry_addresses;
    for (auto const& [domain, entries] : this->askers)
    {
        told.insert(entries.begin(), entries.end());
    }
    this->tell(told);
}

void view_relay::tell_change()
{
    auto const now = base::boot_now();
    auto told = this->context->entry_addresses;
    auto const choose_in = [&](auto const& by_domain)
    {
        for (auto const& [domain, entries] : by_domain)
        {
            if (direct::notifies_immediately(this->duty, domain, now))
            {
                told.insert(entries.begin(), entries.end());
                continue;
            }
            for (auto const& entry : entries)
            {
                told.erase(entry);
            }
        }
    };
    choose_in(this->askers);
    choose_in(this->context->book.domain_entries);
    for (auto const& [watcher, heard] : this->duty.watchers)
    {
        told.insert(watcher);
    }
    this->tell(told);
}

void view_relay::tell(std::set<std::string> const& entries)
{
    auto const bytes = this->notice(0).SerializeAsString();
    for (auto const& entry : entries)
    {
        if (entry != this->context->settings.ip)
        {
            this->send(entry, bytes);
        }
    }
}

void view_relay::plan_push()
{
    // All changes of one answer of the store go out in one notice.
    if (this->push_planned || !this->duty.watching)
    {
        return;
    }
    this->push_planned = true;
    boost::asio::post(
        this->context->loop,
        [self = this->shared_from_this()]
        {
            self->push_planned = false;
            if (self->duty.watching)
            {
                self->tell_change();
            }
        });
}

void view_relay::ask_sources()
{
    auto const now = base::boot_now();
    std::erase_if(
        this->asked,
        [now](auto const& entry)
        {
            return now - entry.second > answer_limit;
        });
    for (auto const& source : direct::asked(this->duty, now))
    {
        wire::Datagram message;
        message.set_from(this->context->settings.name);
        auto& ask = *message.mutable_view_ask();
        ask.set_token(++this->last_token);
        ask.set_failure_domain(this->context->settings.failure_domain);
        ask.set_wants_names(this->context->entry_addresses.size() <= 1);
        for (auto const& feed : this->feeds)
        {
            if (feed->is_ahead())
            {
                set_mark(*ask.add_ahead(), *feed);
            }
        }
        this->asked[this->last_token] = now;
        this->send(source, message.SerializeAsString());
    }
}

void view_relay::handle_ask(std::string const& from, wire::ViewAsk const& ask)
{
    if (this->stopped)
    {
        return;
    }
    this->askers[ask.failure_domain()].insert(from);
    this->fetch_ahead(from, ask.ahead());
    auto told = this->notice(ask.token());
    if (ask.wants_names())
    {
        this->add_neighbours(*told.mutable_view_notice(), ask);
    }
    this->send(from, told.SerializeAsString());
}

void view_relay::add_neighbours(
    wire::ViewNotice& told, wire::ViewAsk const& ask) const
{
    auto const& own = this->context->settings;
    auto named = this->askers.at(ask.failure_domain());
    if (ask.failure_domain() == own.failure_domain)
    {
        named.insert(own.ip);
    }
    for (auto const& entry : named)
    {
        boost::system::error_code error;
        auto const ip = boost::asio::ip::make_address_v4(entry, error);
        if (!error)
        {
            told.add_neighbours(ip.to_uint());
        }
    }
}

view_feed* view_relay::feed_of(std::uint32_t kind) const
{
    auto const found = std::ranges::find_if(
        this->feeds,
        [kind](std::shared_ptr<view_feed> const& feed)
        {
            return static_cast<std::uint32_t>(feed->kind()) == kind;
        });
    return found == this->feeds.end() ? nullptr : found->get();
}

void view_relay::handle_notice(
    std::string const& from, wire::ViewNotice const& notice)
{
    auto const now = base::boot_now();
    direct::note_watcher(
        this->duty, from, notice.failure_domain(), word_of(notice), now);
    auto& hinted = this->context->entries.hinted;
    hinted = std::max<std::size_t>(hinted, notice.entries());
    for (auto const neighbour : notice.neighbours())
    {
        this->context->entry_addresses.insert(
            boost::asio::ip::address_v4(neighbour).to_string());
    }
    if (this->stopped || !notice.fresh())
    {
        this->note_unfit_answer(notice);
        return;
    }
    this->fetch_ahead(from, notice.marks());
    if (this->duty.watching)
    {
        if (this->knows_all() || std::exchange(this->followed_at_start, true))
        {
            return;
        }
        // Failure: all machines lose power, and each entry lists a large
        // configuration over links that are too narrow for all of them. Those
        // near the store have it soon and hand it on, compressed. Tried once:
        // where the watcher is heard but not reached, the own listing must not
        // be given up again.
        direct::follow(this->duty, now);
        this->change_duty();
    }
    if (!direct::accepts_views_from(this->duty, notice.failure_domain(), now))
    {
        return;
    }
    auto const question = this->asked.find(notice.token());
    std::optional<base::boot_time> sent;
    if (question != this->asked.end())
    {
        sent = question->second;
        this->asked.erase(question);
    }
    for (auto const& mark : notice.marks())
    {
        auto* const feed = this->feed_of(mark.kind());
        if (feed == nullptr)
        {
            continue;
        }
        auto const told = mark_of(mark);
        if (feed->mark() < told)
        {
            this->fetch_page(from, *feed, page_use::follow);
        }
        else if (sent && feed->mark().era == told.era)
        {
            feed->confirm_by_peer(told, *sent - milliseconds(mark.age_ms()));
            this->note_views_confirmed(mark.kind(), *sent);
        }
    }
}

void view_relay::fetch_ahead(
    std::string const& from,
    google::protobuf::RepeatedPtrField<wire::ViewMark> const& marks)
{
    for (auto const& mark : marks)
    {
        auto* const feed = this->feed_of(mark.kind());
        auto const told = mark_of(mark);
        if (feed != nullptr && mark.in_force() > feed->in_force() &&
            feed->mark().era == told.era && feed->mark() >= told)
        {
            this->fetch_page(from, *feed, page_use::ahead);
        }
    }
}

void view_relay::note_unfit_answer(wire::ViewNotice const& notice)
{
    if (notice.token() == 0 || this->knows_all())
    {
        return;
    }
    this->duty.seed_answered = true;
    if (notice.watchers_size() > 0)
    {
        this->duty.seeds = {notice.watchers().begin(), notice.watchers().end()};
    }
}

void view_relay::note_views_confirmed(
    std::uint32_t kind, base::boot_time asked_at)
{
    this->followed[kind] = asked_at;
    auto least = asked_at;
    for (auto const& feed : this->feeds)
    {
        auto const found =
            this->followed.find(static_cast<std::uint32_t>(feed->kind()));
        if (found == this->followed.end())
        {
            return;
        }
        least = std::min(least, found->second);
    }
    direct::note_views_confirmed(this->duty, least);
}

void view_relay::fetch_page(
    std::string const& from, view_feed const& feed, page_use use)
{
    auto const kind = static_cast<std::uint32_t>(feed.kind());
    if (std::exchange(this->fetching[kind], true))
    {
        return;
    }
    auto& state = *this->context;
    net::request const request{
        .method = "GET",
        .target = page_target(
            kind,
            use == page_use::ahead ? platform::store_position() : feed.mark()),
        .fields = {{"Host", "entry"}},
        .body = {}};
    auto const began = base::boot_now();
    fetch(
        state.loop, state.pool,
        from + ":" + std::to_string(state.settings.peer_port), request,
        page_limit,
        [self = this->shared_from_this(), kind, use, from,
         began](std::optional<fetched> const& response)
        {
            self->fetching[kind] = false;
            if (response && response->status == 200)
            {
                note_received(
                    self->context->traffic, "view_page", from,
                    response->body.size());
                self->take_page(kind, use, response->body, began);
            }
        });
}

void view_relay::take_page(
    std::uint32_t kind,
    page_use use,
    std::string_view text,
    base::boot_time asked_at)
{
    auto* const target = this->feed_of(kind);
    auto const held = take_number(text);
    if (target == nullptr || !held || !text.starts_with('\n'))
    {
        this->context->counters.count_error(base::error_kind::bad_frame);
        return;
    }
    text.remove_prefix(1);
    auto const as_of = asked_at - milliseconds(*held);
    if (use == page_use::ahead)
    {
        target->take_ahead(std::string(text), as_of);
        return;
    }
    // One that watches by now takes what its watch brings, in order.
    if (!this->duty.watching && target->take_page(std::string(text), as_of))
    {
        this->note_views_confirmed(kind, as_of);
    }
}

std::string view_relay::page_text(
    view_feed const& feed, platform::store_position const& after)
{
    auto const now = base::boot_now();
    auto& kept = this->pages[static_cast<std::uint32_t>(feed.kind())];
    if (kept.after != after || kept.mark != feed.mark() ||
        now - kept.made > page_life)
    {
        kept = {after, feed.mark(), now, feed.page_for(after)};
    }
    return std::to_string((now - kept.made).count()) + "\n" + kept.bytes;
}

std::shared_ptr<net::http_server> view_relay::make_page_door()
{
    net::server_handlers handlers;
    handlers.on_request =
        [this](
            std::shared_ptr<net::server_session> const& session,
            net::request const& call)
    {
        auto const wanted = read_target(call.target);
        auto* const feed = wanted ? this->feed_of(wanted->kind) : nullptr;
        // Who asks for all takes from one that follows only what is ahead of
        // the store.
        auto const may_answer =
            this->duty.watching ||
            (wanted && wanted->known == platform::store_position());
        if (feed == nullptr || !may_answer)
        {
            session->respond(404, {}, {});
            return;
        }
        session->respond(200, {}, this->page_text(*feed, wanted->known));
    };
    handlers.on_fault = [](net::server_session& session, net::read_fault)
    {
        session.abort();
    };
    return std::make_shared<net::http_server>(
        this->context->loop, net::server_limits{}, std::move(handlers));
}

} // namespace foxtailvale::gateway
