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

// Interval of a follower's requests; two of them may be lost before it
// considers its views old.
constexpr milliseconds round_interval{250};

// The same for an entry that has no views yet.
constexpr milliseconds initial_round_interval{60};

// Number of rounds between two announcements of a watcher.
constexpr std::uint64_t announce_rounds = 2;

// Time allowed for fetching a page. A page of 29 KB takes a few milliseconds,
// also across regions; a large one queues behind answers to callers on a full
// link.
constexpr milliseconds page_timeout{2500};

// A request that was not answered within this time is considered lost.
constexpr milliseconds answer_timeout{2000};

// Maximum age of a view that counts as fresh. The watch confirms the
// configuration every 0.8 s, as of the start of the watch request; a quarter of
// a second allows for a slow store.
constexpr milliseconds max_fresh_age{1900};

// A page requested by several entries is built once in this time. Failure: 145
// entries started together, and the entry that served them compressed each list
// anew for each of them.
constexpr milliseconds page_cache_time{250};

constexpr std::string_view page_root = "/views/";

// Random differences between entries in how soon they begin to watch.
constexpr std::uint64_t jitter_ms = 1500;

std::uint64_t age_of(std::optional<base::boot_time> then)
{
    auto const now = base::boot_now();
    return static_cast<std::uint64_t>(
        std::max<std::int64_t>(0, (now - then.value_or(now)).count()));
}

direct::watch_status status_of(wire::ViewNotice const& notice)
{
    if (notice.fresh())
    {
        return direct::watch_status::fresh;
    }
    return notice.watching() ? direct::watch_status::looking
                             : direct::watch_status::not_watching;
}

// Parses a number at the front of the text and removes it.
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

platform::store_position position_of(wire::ViewMark const& mark)
{
    return {mark.era(), mark.revision()};
}

void set_mark(wire::ViewMark& mark, view_feed const& feed)
{
    mark.set_kind(static_cast<std::uint32_t>(feed.kind()));
    mark.set_era(feed.position().era);
    mark.set_revision(feed.position().revision);
    if (feed.is_ahead())
    {
        mark.set_in_force(feed.in_force());
    }
}

// Path of a page: the kind, and the era and revision that the requester knows.
std::string
page_target(std::uint32_t kind, platform::store_position const& known)
{
    return std::string(page_root) + std::to_string(kind) + "/" +
           std::to_string(known.era) + "/" + std::to_string(known.revision);
}

struct page_request
{
    std::uint32_t kind = 0;
    platform::store_position known;
};

std::optional<page_request> parse_target(std::string_view target)
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
    return page_request{
        static_cast<std::uint32_t>(numbers[0]), {numbers[1], numbers[2]}};
}

} // namespace

view_relay::view_relay(
    std::shared_ptr<entry_context> shared,
    std::vector<std::shared_ptr<view_feed>> view_feeds)
    : context(std::move(shared)), feeds(std::move(view_feeds)),
      page_server(this->make_page_server()), timer(this->context->loop)
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
    if (auto fault = this->page_server->listen({ip, settings.peer_port}))
    {
        return fault;
    }
    for (auto const& feed : this->feeds)
    {
        feed->on_change = [self = this->weak_from_this()]
        {
            if (auto const held = self.lock())
            {
                held->schedule_notice();
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
    this->page_server->stop();
    for (auto const& feed : this->feeds)
    {
        feed->stop_watch();
    }
}

void view_relay::run_round()
{
    ++this->rounds;
    this->update_watch_duty();
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
    if (!this->duty.watching && !this->has_all_views())
    {
        return initial_round_interval;
    }
    if (!std::exchange(this->is_staggered, true))
    {
        // A random first interval staggers the entries: the others hear of an
        // entry that begins to watch before they decide themselves.
        return milliseconds(base::random_below(
            this->context->random,
            static_cast<std::uint64_t>(round_interval.count())));
    }
    return round_interval;
}

void view_relay::update_watch_duty()
{
    auto const before = this->duty.watching;
    this->duty.neighbours = this->context->neighbours.size();
    auto const now =
        direct::decide(this->duty, this->is_fresh(), base::boot_now());
    if (before != now)
    {
        this->apply_watch_duty();
    }
}

void view_relay::apply_watch_duty()
{
    auto const now = this->duty.watching;
    kernel::log_event(
        now ? kernel::event_id::watching_began
            : kernel::event_id::watching_ended,
        {{"watchers", this->duty.watchers.size()},
         {"entries", this->context->entry_addresses.size()},
         {"fresh", this->is_fresh()},
         {"view_age_ms", age_of(this->context->confirmed)}});
    this->confirmed_by_peer_at.clear();
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
    // Entries that would begin to watch as well learn of it at once, and so do
    // entries that would rely on this one.
    this->notify_all();
}

bool view_relay::has_all_views() const
{
    return std::ranges::all_of(
        this->feeds,
        [](std::shared_ptr<view_feed> const& feed)
        {
            return feed->position().revision > 0;
        });
}

bool view_relay::is_fresh() const
{
    return !this->retired && this->context->confirmed &&
           base::boot_now() - *this->context->confirmed <= max_fresh_age;
}

wire::Datagram view_relay::notice(std::uint64_t token) const
{
    wire::Datagram message;
    message.set_from(this->context->settings.name);
    auto& body = *message.mutable_view_notice();
    body.set_failure_domain(this->context->settings.failure_domain);
    body.set_token(token);
    body.set_watching(this->duty.watching && !this->retired);
    std::size_t known = 1;
    for (auto const& [domain, entries] : this->requesters)
    {
        known += entries.size();
    }
    body.set_entries(static_cast<std::uint32_t>(known));
    body.set_fresh(this->duty.watching && this->is_fresh());
    if (!this->duty.watching)
    {
        for (auto const& watcher :
             direct::sources(this->duty, base::boot_now()))
        {
            body.add_watchers(watcher);
        }
        return message;
    }
    for (auto const& feed : this->feeds)
    {
        if (!feed->confirmed())
        {
            continue;
        }
        auto& mark = *body.add_marks();
        set_mark(mark, *feed);
        mark.set_age_ms(age_of(feed->confirmed()));
    }
    return message;
}

void view_relay::announce()
{
    if (this->duty.watching)
    {
        this->notify_all();
    }
}

void view_relay::notify_all()
{
    auto recipients = this->context->entry_addresses;
    for (auto const& [domain, entries] : this->requesters)
    {
        recipients.insert(entries.begin(), entries.end());
    }
    this->send_notice(recipients);
}

void view_relay::notify_change()
{
    auto const now = base::boot_now();
    auto recipients = this->context->entry_addresses;
    auto const choose_in = [&](auto const& by_domain)
    {
        for (auto const& [domain, entries] : by_domain)
        {
            if (direct::notifies_immediately(this->duty, domain, now))
            {
                recipients.insert(entries.begin(), entries.end());
                continue;
            }
            for (auto const& entry : entries)
            {
                recipients.erase(entry);
            }
        }
    };
    choose_in(this->requesters);
    choose_in(this->context->book.domain_entries);
    for (auto const& [watcher, heard] : this->duty.watchers)
    {
        recipients.insert(watcher);
    }
    this->send_notice(recipients);
}

void view_relay::send_notice(std::set<std::string> const& entries)
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

void view_relay::schedule_notice()
{
    // All changes in one answer of the store are covered by one notice.
    if (this->notice_scheduled || !this->duty.watching)
    {
        return;
    }
    this->notice_scheduled = true;
    boost::asio::post(
        this->context->loop,
        [self = this->shared_from_this()]
        {
            self->notice_scheduled = false;
            if (self->duty.watching)
            {
                self->notify_change();
            }
        });
}

void view_relay::ask_sources()
{
    auto const now = base::boot_now();
    std::erase_if(
        this->pending_asks,
        [now](auto const& entry)
        {
            return now - entry.second > answer_timeout;
        });
    for (auto const& source : direct::entries_to_ask(this->duty, now))
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
        this->pending_asks[this->last_token] = now;
        this->send(source, message.SerializeAsString());
    }
}

void view_relay::handle_ask(std::string const& from, wire::ViewAsk const& ask)
{
    if (this->stopped)
    {
        return;
    }
    this->requesters[ask.failure_domain()].insert(from);
    this->fetch_ahead(from, ask.ahead());
    auto answer = this->notice(ask.token());
    if (ask.wants_names())
    {
        this->add_neighbours(*answer.mutable_view_notice(), ask);
    }
    this->send(from, answer.SerializeAsString());
}

void view_relay::add_neighbours(
    wire::ViewNotice& answer, wire::ViewAsk const& ask) const
{
    auto const& own = this->context->settings;
    auto named = this->requesters.at(ask.failure_domain());
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
            answer.add_neighbours(ip.to_uint());
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
        this->duty, from, notice.failure_domain(), status_of(notice), now);
    auto& hinted = this->context->entries.hinted;
    hinted = std::max<std::size_t>(hinted, notice.entries());
    for (auto const neighbour : notice.neighbours())
    {
        this->context->entry_addresses.insert(
            boost::asio::ip::address_v4(neighbour).to_string());
    }
    if (this->stopped || !notice.fresh())
    {
        this->note_unusable_answer(notice);
        return;
    }
    this->fetch_ahead(from, notice.marks());
    if (this->duty.watching)
    {
        if (this->has_all_views() ||
            std::exchange(this->followed_at_start, true))
        {
            return;
        }
        // Follows another entry instead of completing the first listing.
        // Failure: after all machines lost power, each entry listed a large
        // configuration over links too narrow for all of them; entries near the
        // store have it soon and send it on compressed. Tried once: where
        // notices of the watcher arrive but its pages cannot be fetched, this
        // entry's own listing must not be abandoned a second time.
        direct::follow(this->duty, now);
        this->apply_watch_duty();
    }
    if (!direct::accepts_views_from(this->duty, notice.failure_domain(), now))
    {
        return;
    }
    auto const pending = this->pending_asks.find(notice.token());
    std::optional<base::boot_time> sent;
    if (pending != this->pending_asks.end())
    {
        sent = pending->second;
        this->pending_asks.erase(pending);
    }
    for (auto const& mark : notice.marks())
    {
        auto* const feed = this->feed_of(mark.kind());
        if (feed == nullptr)
        {
            continue;
        }
        auto const other_position = position_of(mark);
        if (feed->position() < other_position)
        {
            this->fetch_page(from, *feed, page_use::follow);
        }
        else if (sent && feed->position().era == other_position.era)
        {
            feed->confirm_by_peer(
                other_position, *sent - milliseconds(mark.age_ms()));
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
        auto const other_position = position_of(mark);
        if (feed != nullptr && mark.in_force() > feed->in_force() &&
            feed->position().era == other_position.era &&
            feed->position() >= other_position)
        {
            this->fetch_page(from, *feed, page_use::ahead);
        }
    }
}

void view_relay::note_unusable_answer(wire::ViewNotice const& notice)
{
    if (notice.token() == 0 || this->has_all_views())
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
    std::uint32_t kind, base::boot_time requested_at)
{
    this->confirmed_by_peer_at[kind] = requested_at;
    auto least = requested_at;
    for (auto const& feed : this->feeds)
    {
        auto const found = this->confirmed_by_peer_at.find(
            static_cast<std::uint32_t>(feed->kind()));
        if (found == this->confirmed_by_peer_at.end())
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
            kind, use == page_use::ahead ? platform::store_position()
                                         : feed.position()),
        .fields = {{"Host", "entry"}},
        .body = {}};
    auto const began = base::boot_now();
    fetch(
        state.loop, state.pool,
        from + ":" + std::to_string(state.settings.peer_port), request,
        page_timeout,
        [self = this->shared_from_this(), kind, use, from,
         began](std::optional<fetched> const& response)
        {
            self->fetching[kind] = false;
            if (response && response->status == 200)
            {
                note_received(
                    self->context->traffic, "view_page", from,
                    response->body.size());
                self->apply_page(kind, use, response->body, began);
            }
        });
}

void view_relay::apply_page(
    std::uint32_t kind,
    page_use use,
    std::string_view text,
    base::boot_time requested_at)
{
    auto* const target = this->feed_of(kind);
    auto const cached_for = take_number(text);
    if (target == nullptr || !cached_for || !text.starts_with('\n'))
    {
        this->context->counters.count_error(base::error_kind::bad_frame);
        return;
    }
    text.remove_prefix(1);
    auto const as_of = requested_at - milliseconds(*cached_for);
    if (use == page_use::ahead)
    {
        target->apply_ahead_page(std::string(text), as_of);
        return;
    }
    // An entry that has begun to watch meanwhile applies only what its own
    // watch delivers, in order.
    if (!this->duty.watching && target->apply_page(std::string(text), as_of))
    {
        this->note_views_confirmed(kind, as_of);
    }
}

std::string view_relay::page_body(
    view_feed const& feed, platform::store_position const& after)
{
    auto const now = base::boot_now();
    auto& cached = this->pages[static_cast<std::uint32_t>(feed.kind())];
    if (cached.after != after || cached.position != feed.position() ||
        now - cached.made > page_cache_time)
    {
        cached = {after, feed.position(), now, feed.page_for(after)};
    }
    return std::to_string((now - cached.made).count()) + "\n" + cached.bytes;
}

std::shared_ptr<net::http_server> view_relay::make_page_server()
{
    net::server_handlers handlers;
    handlers.on_request =
        [this](
            std::shared_ptr<net::server_session> const& session,
            net::request const& received)
    {
        auto const wanted = parse_target(received.target);
        auto* const feed = wanted ? this->feed_of(wanted->kind) : nullptr;
        // A requester that knows no position gets its page also from a
        // follower; it uses only what is ahead of the store.
        auto const may_answer =
            this->duty.watching ||
            (wanted && wanted->known == platform::store_position());
        if (feed == nullptr || !may_answer)
        {
            session->respond(404, {}, {});
            return;
        }
        session->respond(200, {}, this->page_body(*feed, wanted->known));
    };
    handlers.on_fault = [](net::server_session& session, net::read_fault)
    {
        session.abort();
    };
    return std::make_shared<net::http_server>(
        this->context->loop, net::server_limits{}, std::move(handlers),
        net::peer_capacity(net::limits_of_process(
            this->context->settings.memory_bytes,
            this->context->settings.max_descriptors)));
}

} // namespace foxtailvale::gateway
