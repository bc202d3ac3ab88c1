#include <gateway/store_watch.hpp>

namespace foxtailvale::gateway
{

namespace
{

using std::chrono::milliseconds;

// A call on which nothing comes for longer has met a connection that fell
// silent: the store answers within milliseconds, and within a quarter of a
// second when slow. What counts is the silence, not the whole time. Failure: a
// configuration of a megabyte goes to 33 entries that start together, over
// links of 25 Mbit/s between regions; given up in the middle, it is asked for
// again, the links stay full and no entry ever knows it.
constexpr milliseconds list_limit{1500};

// What a watch may take beyond its wait.
constexpr milliseconds watch_slack{500};

constexpr milliseconds first_pause{60};
constexpr milliseconds longest_pause{1000};

// An outage shorter than this lets no entry lapse: endpoints are taken off the
// list after three heartbeats of silence.
constexpr milliseconds short_outage{1000};

// How long after the store's return lapsed entries may still be missing.
constexpr milliseconds return_time{2000};

} // namespace

store_watch::store_watch(
    boost::asio::io_context& event_loop,
    watch_settings chosen,
    watch_handlers callbacks,
    std::uint64_t known_era)
    : loop(event_loop), settings(chosen), handlers(std::move(callbacks)),
      timer(event_loop), random{chosen.seed}, mark{known_era, 0}
{
}

void store_watch::start()
{
    this->list({});
}

void store_watch::stop()
{
    this->stopped = true;
    this->timer.cancel();
    if (this->connection)
    {
        this->connection->close();
    }
}

platform::store_position const& store_watch::mark_read() const
{
    return this->mark;
}

void store_watch::list(std::string const& after)
{
    this->watching = false;
    if (after.empty())
    {
        this->listed.clear();
        this->list_began = base::boot_now();
    }
    this->send(
        platform::list_request(this->settings.kind, after, false), list_limit);
}

void store_watch::watch()
{
    this->watching = true;
    this->send(
        platform::watch_request(
            this->settings.kind, this->mark.revision, this->settings.wait),
        this->settings.wait + watch_slack);
}

void store_watch::send(
    net::request const& request, std::chrono::milliseconds limit)
{
    this->waiting_to_retry = false;
    this->began = base::boot_now();
    this->status = 0;
    this->answer_era = 0;
    this->body.clear();
    if (!this->connection || !this->connection->is_idle())
    {
        this->connection = std::make_shared<net::client_connection>(
            this->loop, this->settings.store);
    }
    auto const self = this->shared_from_this();
    this->connection->start(
        net::serialize(request),
        {[self](net::response_head const& head)
         {
             self->status = head.status;
             self->answer_era = platform::read_era(head.fields);
             return net::head_verdict::take;
         },
         [self](std::string_view data)
         {
             self->body.append(data);
             self->last_data = std::chrono::steady_clock::now();
         },
         [self](net::exchange_result const& result)
         {
             if (self->stopped)
             {
                 return;
             }
             self->timer.cancel();
             if (result.end != net::exchange_end::whole)
             {
                 self->status = 0;
             }
             self->on_response();
         }});
    this->last_data = std::chrono::steady_clock::now();
    this->give_up_after(limit);
}

void store_watch::give_up_after(milliseconds limit)
{
    this->timer.expires_at(this->last_data + limit);
    this->timer.async_wait(
        [self = this->shared_from_this(),
         sent = this->last_data](boost::system::error_code error)
        {
            if (error || self->stopped)
            {
                return;
            }
            if (self->last_data != sent)
            {
                self->give_up_after(list_limit);
                return;
            }
            self->connection->close();
            self->fail("no answer in time", self->began);
        });
}

bool store_watch::take_era()
{
    if (this->answer_era == 0 || this->answer_era == this->mark.era)
    {
        return true;
    }
    if (this->answer_era < this->mark.era)
    {
        this->fail("an answer of an era before", this->began);
        return false;
    }
    auto const before = this->mark;
    this->mark.era = this->answer_era;
    if (before.era == 0)
    {
        return true;
    }
    this->mark.revision = 0;
    this->regained = base::boot_now();
    if (this->handlers.on_return)
    {
        this->handlers.on_return(before, this->mark);
    }
    if (this->status != 200)
    {
        return true;
    }
    // What the answer tells may begin in the era before.
    this->succeed();
    this->list({});
    return false;
}

void store_watch::on_response()
{
    constexpr unsigned history_gone = 410;
    if (!this->take_era())
    {
        return;
    }
    if (this->status == history_gone)
    {
        this->succeed();
        this->list({});
        return;
    }
    if (this->status != 200)
    {
        // Said at once, or the connection was cut: what a watch had waited
        // before was no outage. Failure: watches are cut now and then, and an
        // endpoint that left after it was used for a second and a half more.
        this->fail("status " + std::to_string(this->status), base::boot_now());
        return;
    }
    auto reply = platform::read_store_reply(this->body);
    if (reply.has_error())
    {
        this->fail(reply.error().detail, this->began);
        return;
    }
    this->succeed();
    if (this->watching)
    {
        this->take_changes(reply.value());
        return;
    }
    this->take_list(std::move(reply.value()));
}

void store_watch::take_list(platform::store_reply reply)
{
    if (this->listed.empty())
    {
        // Later pages may speak for a later revision; watching from the first
        // page's sees what changed between them.
        this->listed_revision = reply.revision;
    }
    for (auto& object : reply.objects)
    {
        this->listed.push_back(std::move(object));
    }
    if (reply.truncated && !this->listed.empty())
    {
        this->list(std::string(this->listed.back().name));
        return;
    }
    if (this->listed_revision < this->mark.revision)
    {
        // An answer from before what was already seen would take back what
        // has been adopted.
        this->listed.clear();
        this->fail("an answer from before", this->began);
        return;
    }
    this->mark.revision = this->listed_revision;
    this->handlers.on_list(this->listed, this->was_lost());
    this->listed.clear();
    this->handlers.on_confirmed(this->list_began);
    this->watch();
}

void store_watch::take_changes(platform::store_reply const& reply)
{
    auto const lost = this->was_lost();
    this->mark.revision = std::max(this->mark.revision, reply.revision);
    for (auto const& object : reply.objects)
    {
        this->handlers.on_change(object, lost);
    }
    this->handlers.on_confirmed(this->began);
    if (!reply.objects.empty() && this->settings.pause.count() > 0)
    {
        this->next(this->settings.pause);
        return;
    }
    this->watch();
}

void store_watch::succeed()
{
    this->failures = 0;
    this->handlers.on_call(true, this->began);
    if (this->lost_since)
    {
        auto const now = base::boot_now();
        if (now - *this->lost_since > short_outage)
        {
            this->regained = now;
        }
        this->lost_since.reset();
        this->handlers.on_lost(false, {});
    }
}

void store_watch::fail(std::string const& why, base::boot_time since)
{
    this->handlers.on_call(false, this->began);
    if (!this->lost_since)
    {
        this->lost_since = since;
        this->handlers.on_lost(true, why);
    }
    auto const pause = std::min(
        first_pause * (1 << std::min(this->failures, 5U)), longest_pause);
    ++this->failures;
    auto const jitter = base::random_below(
        this->random, static_cast<std::uint64_t>(pause.count()) / 2 + 1);
    this->next(pause + milliseconds(jitter));
}

bool store_watch::was_lost() const
{
    return this->regained && base::boot_now() - *this->regained < return_time;
}

void store_watch::next(milliseconds delay)
{
    this->waiting_to_retry = true;
    this->timer.expires_after(delay);
    this->timer.async_wait(
        [self = this->shared_from_this()](boost::system::error_code error)
        {
            if (error || self->stopped || !self->waiting_to_retry)
            {
                return;
            }
            // After a failure a listing confirms the view at once; a watch
            // would only after its wait.
            if (self->lost_since || self->mark.revision == 0)
            {
                self->list({});
                return;
            }
            self->watch();
        });
}

} // namespace foxtailvale::gateway
