#include "fetch.hpp"

#include <gateway/store_watch.hpp>

namespace foxtailvale::gateway
{

namespace
{

using std::chrono::milliseconds;

// A request on which no data arrives for longer has met a stalled connection:
// the store answers within milliseconds, or a quarter of a second when slow.
// The limit is for inactivity, not for the whole transfer. Failure: a
// configuration of a megabyte goes to 33 entries that start together, over
// links of 25 Mbit/s between regions; if transfers were aborted midway they
// would be requested again, the links would stay full, and no entry would ever
// get the configuration.
constexpr milliseconds inactivity_timeout{1500};

// Time allowed for a watch request beyond its wait.
constexpr milliseconds watch_slack{500};

constexpr milliseconds min_retry_delay{60};
constexpr milliseconds max_retry_delay{1000};

// In an outage shorter than this no endpoint expires: the store removes an
// endpoint after three missed heartbeats.
constexpr milliseconds short_outage{1000};

// How long after the store is back expired endpoints may still be missing.
constexpr milliseconds recovery_time{2000};

} // namespace

store_watch::store_watch(
    boost::asio::io_context& event_loop,
    watch_settings chosen,
    watch_handlers callbacks,
    std::uint64_t known_era)
    : loop(event_loop), settings(chosen), handlers(std::move(callbacks)),
      timer(event_loop), random{chosen.seed}, position{known_era, 0}
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

platform::store_position const& store_watch::last_position() const
{
    return this->position;
}

void store_watch::list(std::string const& after)
{
    this->watching = false;
    if (after.empty())
    {
        this->pages = {};
        this->list_began = base::boot_now();
    }
    this->send(
        platform::list_request(this->settings.kind, after, false),
        inactivity_timeout);
}

void store_watch::watch()
{
    this->watching = true;
    this->send(
        platform::watch_request(
            this->settings.kind, this->position.revision, this->settings.wait),
        this->settings.wait + watch_slack);
}

void store_watch::send(
    net::request const& request, std::chrono::milliseconds limit)
{
    this->delay_pending = false;
    this->target = request.target;
    this->began = base::boot_now();
    this->status = 0;
    this->answer_era = 0;
    this->body.clear();
    if (!this->connection || !this->connection->is_idle())
    {
        this->connection = std::make_shared<net::client_connection>(
            this->loop, this->settings.store);
        this->connection->limit_body(max_fetched_bytes);
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
    this->arm_timeout(limit);
}

void store_watch::arm_timeout(milliseconds limit)
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
                self->arm_timeout(inactivity_timeout);
                return;
            }
            self->connection->close();
            self->fail("no answer in time", self->began);
        });
}

bool store_watch::accept_era()
{
    if (this->answer_era == 0 || this->answer_era == this->position.era)
    {
        return true;
    }
    if (this->answer_era < this->position.era)
    {
        this->fail("answer belongs to an earlier era", this->began);
        return false;
    }
    auto const before = this->position;
    this->position.era = this->answer_era;
    if (before.era == 0)
    {
        return true;
    }
    this->position.revision = 0;
    this->recovered_at = base::boot_now();
    if (this->handlers.on_store_restored)
    {
        this->handlers.on_store_restored(before, this->position);
    }
    if (this->status != 200)
    {
        return true;
    }
    // The changes in the answer may start in the previous era.
    this->handlers.on_request_end(true, this->began);
    this->list({});
    return false;
}

void store_watch::on_response()
{
    constexpr unsigned history_gone = 410;
    if (!this->accept_era())
    {
        return;
    }
    if (this->status == history_gone && this->watching)
    {
        this->handlers.on_request_end(true, this->began);
        this->list({});
        return;
    }
    if (this->status != 200)
    {
        // The answer came at once, or the connection was cut: the time that the
        // watch had waited before was no outage. Failure: watches are cut now
        // and then; counted from the start of the wait that looked like an
        // outage, and an endpoint that left afterwards was used for 1.5 s
        // longer.
        this->fail("status " + std::to_string(this->status), base::boot_now());
        return;
    }
    auto reply = platform::read_store_reply(this->body);
    if (reply.has_error())
    {
        this->fail(reply.error().detail, this->began);
        return;
    }
    this->handlers.on_request_end(true, this->began);
    if (this->watching)
    {
        this->note_recovery();
        this->handle_changes(reply.value());
        return;
    }
    this->handle_list(std::move(reply.value()));
}

void store_watch::handle_list(platform::store_reply reply)
{
    auto const next = add_page(this->pages, std::move(reply));
    if (next.has_error())
    {
        this->fail(next.error().detail, this->began);
        return;
    }
    if (next.value())
    {
        this->list(*next.value());
        return;
    }
    if (this->pages.revision < this->position.revision)
    {
        // A listing older than what was already seen would revert what has been
        // adopted.
        this->fail("listing is older than the known revision", this->began);
        return;
    }
    this->note_recovery();
    this->position.revision = this->pages.revision;
    this->handlers.on_list(this->pages.objects, this->was_lost());
    this->pages = {};
    this->handlers.on_confirmed(this->list_began);
    this->watch();
}

void store_watch::handle_changes(platform::store_reply const& reply)
{
    auto const lost = this->was_lost();
    this->position.revision = std::max(this->position.revision, reply.revision);
    for (auto const& object : reply.objects)
    {
        this->handlers.on_change(object, lost);
    }
    this->handlers.on_confirmed(this->began);
    if (!reply.objects.empty() && this->settings.pause.count() > 0)
    {
        this->schedule_next(this->settings.pause);
        return;
    }
    this->watch();
}

void store_watch::note_recovery()
{
    this->failures = 0;
    if (this->lost_since)
    {
        auto const now = base::boot_now();
        if (now - *this->lost_since > short_outage)
        {
            this->recovered_at = now;
        }
        this->lost_since.reset();
        this->handlers.on_lost(false, {});
    }
}

void store_watch::fail(std::string const& why, base::boot_time since)
{
    this->handlers.on_request_end(false, this->began);
    if (!this->lost_since)
    {
        this->lost_since = since;
        this->handlers.on_lost(
            true, why + ": GET " + abbreviate_target(this->target));
    }
    auto const pause = std::min(
        min_retry_delay * (1 << std::min(this->failures, 5U)), max_retry_delay);
    ++this->failures;
    auto const jitter = base::random_below(
        this->random, static_cast<std::uint64_t>(pause.count()) / 2 + 1);
    this->schedule_next(pause + milliseconds(jitter));
}

bool store_watch::was_lost() const
{
    return this->recovered_at &&
           base::boot_now() - *this->recovered_at < recovery_time;
}

void store_watch::schedule_next(milliseconds delay)
{
    this->delay_pending = true;
    this->timer.expires_after(delay);
    this->timer.async_wait(
        [self = this->shared_from_this()](boost::system::error_code error)
        {
            if (error || self->stopped || !self->delay_pending)
            {
                return;
            }
            // After a failure, a listing confirms the view at once; a watch
            // would only do so at the end of its wait.
            if (self->lost_since || self->position.revision == 0)
            {
                self->list({});
                return;
            }
            self->watch();
        });
}

} // namespace foxtailvale::gateway
