#include <direct/store_restore.hpp>
#include <gateway/crash_records.hpp>
#include <gateway/entry_views.hpp>
#include <kernel/events.hpp>

#include <utility>

namespace foxtailvale::gateway
{

namespace
{

using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

// The configuration confirms keys, which must not be accepted for longer than a
// few seconds after their withdrawal. A view can be as old as the last
// completed wait plus the one under way, up to twice this, and followers add a
// quarter of a second.
constexpr milliseconds configuration_wait{800};
// Short, so that a stalled connection does not hide a leaving endpoint for
// long.
constexpr milliseconds endpoints_wait{1500};
constexpr milliseconds domains_wait{2000};
constexpr milliseconds versions_wait{2000};

// Endpoints often change in bursts, such as when many load weights; this delay
// lets one call return the changes of a burst together. A leaving endpoint may
// get requests for two seconds, which bounds this delay.
constexpr milliseconds endpoints_pause{200};

// Subtracted from the time until an older version must no longer start
// requests, for the transit of the announcement and of the request. The time
// that a request may wait at the endpoint is accounted for by the placement.
constexpr milliseconds version_margin{400};

// Bounds the memory for names of other writers.
constexpr std::size_t max_logged_unusable = 1000;

char const* name_of(platform::object_kind kind)
{
    switch (kind)
    {
    case platform::object_kind::configuration:
        return "configuration";
    case platform::object_kind::endpoints:
        return "endpoints";
    case platform::object_kind::domains_out:
        return "failure domains";
    case platform::object_kind::versions:
        break;
    }
    return "versions";
}

void log_domains_in(std::vector<std::string> const& domains)
{
    for (auto const& domain : domains)
    {
        kernel::log_event(
            kernel::event_id::domain_in, {{"failure_domain", domain}});
    }
}

} // namespace

entry_views::entry_views(std::shared_ptr<entry_context> shared)
    : context(std::move(shared))
{
}

void entry_views::start()
{
    this->watch_configuration();
    this->watch_endpoints();
    this->watch_domains();
    this->watch_versions();
}

std::vector<std::shared_ptr<view_feed>> const& entry_views::feeds() const
{
    return this->view_feeds;
}

bool entry_views::knows_endpoints() const
{
    return this->endpoints_known;
}

void entry_views::add_feed(
    platform::object_kind kind,
    milliseconds wait,
    watch_handlers handlers,
    content_version_readers numbers)
{
    auto const store =
        net::parse_endpoint(this->context->settings.store_address);
    watch_settings chosen;
    chosen.store = store.value_or(net::tcp_endpoint());
    chosen.kind = kind;
    chosen.wait = wait;
    chosen.pause = kind == platform::object_kind::endpoints ? endpoints_pause
                                                            : milliseconds(0);
    chosen.seed = base::next_random(this->context->random);
    handlers.on_request_end =
        [self = this->shared_from_this()](bool answered, base::boot_time began)
    {
        if (answered)
        {
            direct::note_answer(self->outage);
            return;
        }
        direct::note_failure(self->outage, began);
    };
    handlers.on_store_restored = [self = this->shared_from_this(), kind](
                                     platform::store_position const& before,
                                     platform::store_position const& now)
    {
        self->note_store_restored(kind, before, now);
    };
    this->view_feeds.push_back(std::make_shared<view_feed>(
        this->context->loop, chosen, std::move(handlers), std::move(numbers)));
}

void entry_views::note_store_restored(
    platform::object_kind kind,
    platform::store_position const& before,
    platform::store_position const& now)
{
    direct::note_store_restored(this->context->book, clock::now());
    this->context->counters.count(
        "foxtailvale_store_returns_total", {{"view", name_of(kind)}});
    kernel::log_event(
        kernel::event_id::store_returned,
        {{"view", name_of(kind)},
         {"era", now.era},
         {"era_before", before.era},
         {"revision_before", before.revision}});
}

std::function<void(bool, std::string const&)>
entry_views::make_loss_logger(char const* what)
{
    return [what](bool lost, std::string const& why)
    {
        kernel::log_event(
            lost ? kernel::event_id::platform_lost
                 : kernel::event_id::platform_back,
            {{"view", what}, {"why", why}});
    };
}

void entry_views::watch_configuration()
{
    auto const self = this->shared_from_this();
    this->add_feed(
        platform::object_kind::configuration, configuration_wait,
        {[self](std::vector<platform::store_object> const& objects, bool)
         {
             for (auto const& object : objects)
             {
                 self->adopt_configuration(object);
             }
         },
         [self](platform::store_object const& object, bool)
         {
             self->adopt_configuration(object);
         },
         [self](base::boot_time until)
         {
             self->context->confirmed = until;
         },
         this->make_loss_logger("configuration")},
        {[](std::string const& content)
         {
             auto const read = platform::read_configuration(content);
             return read.has_error() ? std::uint64_t{0} : read.value().version;
         },
         [self]
         {
             auto const& known = self->context->configuration;
             return known ? known->version : std::uint64_t{0};
         }});
}

void entry_views::adopt_configuration(platform::store_object const& object)
{
    if (object.removed || object.name != "main")
    {
        return;
    }
    auto read = platform::read_configuration(object.content);
    if (read.has_error())
    {
        kernel::log_error(read.error(), {{"revision", object.revision}});
        return;
    }
    auto& state = *this->context;
    // Only a higher version is adopted: a delayed answer must not revert the
    // active configuration.
    if (state.configuration &&
        read.value().version <= state.configuration->version)
    {
        return;
    }
    state.configuration =
        std::make_shared<routing::configuration const>(std::move(read.value()));
    this->on_limits(state.configuration->limits);
    this->on_endpoints();
    kernel::log_event(
        kernel::event_id::configuration_adopted,
        {{"version", state.configuration->version},
         {"revision", object.revision},
         {"skipped", state.configuration->skipped}});
}

void entry_views::watch_endpoints()
{
    auto const self = this->shared_from_this();
    this->add_feed(
        platform::object_kind::endpoints, endpoints_wait,
        {[self](
             std::vector<platform::store_object> const& objects, bool was_lost)
         {
             std::vector<direct::endpoint_record> records;
             self->unusable.clear();
             for (auto const& object : objects)
             {
                 if (auto record = self->read_listed(object))
                 {
                     records.push_back(std::move(*record));
                 }
             }
             self->count_unusable();
             direct::replace_all(
                 self->context->book, std::move(records), was_lost,
                 clock::now());
             self->endpoints_known = true;
             self->on_endpoints();
             serve_all_waiting(*self->context);
         },
         [self](platform::store_object const& object, bool was_lost)
         {
             self->apply_endpoint(object, was_lost);
         },
         [](base::boot_time) {}, this->make_loss_logger("endpoints")});
}

std::optional<direct::endpoint_record>
entry_views::read_listed(platform::store_object const& object)
{
    auto read = platform::read_endpoint(object.name, object.content);
    auto const& settings = this->context->settings;
    // Requests that this entry sends to itself would go round in a circle.
    auto const is_own = read && (read->address == settings.caller_address ||
                                 read->address == settings.readiness_address);
    if (read && !is_own)
    {
        return read;
    }
    this->unusable.insert(object.name);
    if (this->logged_unusable.size() < max_logged_unusable &&
        this->logged_unusable.insert(object.name).second)
    {
        kernel::log_event(
            kernel::event_id::endpoint_unusable,
            {{"endpoint", object.name}, {"unusable", this->unusable.size()}});
    }
    return std::nullopt;
}

void entry_views::count_unusable() const
{
    this->context->counters.gauge(
        "foxtailvale_endpoints_unusable", {},
        static_cast<double>(this->unusable.size()));
}

void entry_views::apply_endpoint(
    platform::store_object const& object, bool was_lost)
{
    auto const now = clock::now();
    this->unusable.erase(object.name);
    auto record = object.removed ? std::nullopt : this->read_listed(object);
    this->count_unusable();
    if (!record)
    {
        note_gone(*this->context, object.name);
        direct::remove(this->context->book, object.name, was_lost, now);
        return;
    }
    auto const is_new = !this->context->book.endpoints.contains(object.name);
    direct::put(this->context->book, std::move(*record));
    if (is_new)
    {
        this->on_endpoints();
    }
    serve_all_waiting(*this->context);
}

void entry_views::watch_domains()
{
    auto const self = this->shared_from_this();
    this->add_feed(
        platform::object_kind::domains_out, domains_wait,
        {[self](std::vector<platform::store_object> const& objects, bool)
         {
             std::set<std::string> listed;
             for (auto const& object : objects)
             {
                 listed.insert(object.name);
                 self->apply_domain(object);
             }
             log_domains_in(direct::replace_domains(
                 self->context->book, listed, clock::now()));
         },
         [self](platform::store_object const& object, bool)
         {
             self->apply_domain(object);
         },
         [](base::boot_time) {}, this->make_loss_logger("failure domains")});
}

void entry_views::apply_domain(platform::store_object const& object)
{
    auto& book = this->context->book;
    if (object.removed && direct::return_to_service(book, object.name))
    {
        log_domains_in({object.name});
    }
    if (!object.removed && direct::take_out_of_service(book, object.name))
    {
        kernel::log_event(
            kernel::event_id::domain_out, {{"failure_domain", object.name}});
    }
}

void entry_views::expire_domains()
{
    log_domains_in(direct::expire_domains(this->context->book, clock::now()));
}

void entry_views::watch_versions()
{
    auto const began = base::boot_now();
    auto const self = this->shared_from_this();
    this->add_feed(
        platform::object_kind::versions, versions_wait,
        {[self, began](std::vector<platform::store_object> const& objects, bool)
         {
             // The versions in a listing may have been accepted at any time
             // since the last confirmation. Failure: the first listing arrived
             // late, its transit time was not counted, and an older version was
             // used for that much longer.
             auto const bound = self->context->settings.promised.version;
             auto const since = self->versions_known
                                    ? self->versions_confirmed
                                    : began - direct::unseen_age(bound);
             for (auto const& object : objects)
             {
                 self->apply_version(
                     object, direct::accepted_since(self->outage, since));
             }
             self->versions_known = true;
         },
         [self](platform::store_object const& object, bool was_lost)
         {
             self->apply_version(
                 object, was_lost ? direct::accepted_since(
                                        self->outage, self->versions_confirmed)
                                  : self->earliest_received() - object.age);
         },
         [self](base::boot_time until)
         {
             self->versions_confirmed = until;
         },
         this->make_loss_logger("versions")},
        {[](std::string const& content)
         {
             auto const read = platform::read_version(content);
             return read ? read->version : std::uint64_t{0};
         },
         {}});
}

base::boot_time entry_views::earliest_received() const
{
    return direct::earliest_arrival(this->context->pause, base::boot_now());
}

void entry_views::apply_version(
    platform::store_object const& object, base::boot_time accepted)
{
    auto const read = platform::read_version(object.content);
    if (object.removed || !read)
    {
        return;
    }
    auto const bound = this->context->settings.promised.version;
    auto const learned = clock::now() - (base::boot_now() - accepted);
    auto const is_new = direct::announce_version(
        this->context->book, read->model,
        {read->version, learned, learned + bound - version_margin});
    if (!is_new)
    {
        return;
    }
    this->on_versions();
    kernel::log_event(
        kernel::event_id::version_named,
        {{"model", read->model},
         {"version", read->version},
         {"age_ms", (base::boot_now() - accepted).count()}});
}

} // namespace foxtailvale::gateway
