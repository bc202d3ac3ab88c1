#include "page_compression.hpp"

#include <gateway/view_feed.hpp>
#include <proto/foxtailvale.pb.h>

#include <algorithm>

namespace foxtailvale::gateway
{

namespace
{

using std::chrono::milliseconds;

std::uint64_t age_at(base::boot_time then, base::boot_time now)
{
    return static_cast<std::uint64_t>(
        std::max<std::int64_t>(0, (now - then).count()));
}

// Converts an object of a page. Its age gets the transit time added, as the
// page gives the age at the sender.
platform::store_object
read_object(wire::ViewObject const& sent, milliseconds transit_time)
{
    platform::store_object object;
    object.name = sent.name();
    object.revision = sent.revision();
    object.content = sent.content();
    object.removed = sent.removed();
    object.age = milliseconds(sent.age_ms()) + transit_time;
    return object;
}

} // namespace

view_feed::view_feed(
    boost::asio::io_context& event_loop,
    watch_settings chosen,
    watch_handlers callbacks,
    content_version_readers given)
    : loop(event_loop), settings(chosen), handlers(std::move(callbacks)),
      version_readers(std::move(given))
{
    this->view.read_version = this->version_readers.read;
}

view_feed::~view_feed()
{
    this->stop_watch();
}

platform::object_kind view_feed::kind() const
{
    return this->settings.kind;
}

platform::store_position const& view_feed::position() const
{
    return this->view.position;
}

bool view_feed::is_ahead() const
{
    return !this->view.ahead.empty();
}

std::uint64_t view_feed::in_force() const
{
    return this->version_readers.in_force ? this->version_readers.in_force()
                                          : 0;
}

std::optional<base::boot_time> view_feed::confirmed() const
{
    return this->view.confirmed;
}

void view_feed::start_watch()
{
    if (this->watch)
    {
        return;
    }
    this->watch = std::make_shared<store_watch>(
        this->loop, this->settings, this->wrapped_handlers(),
        this->view.position.era);
    this->watch->start();
}

void view_feed::stop_watch()
{
    if (this->watch)
    {
        this->watch->stop();
        this->watch.reset();
    }
}

watch_handlers view_feed::wrapped_handlers()
{
    // A stopped watch no longer calls its handlers, and the destructor stops
    // the watch, so the pointer stays valid.
    auto* const self = this;
    watch_handlers wrapped = this->handlers;
    wrapped.on_list =
        [self](
            std::vector<platform::store_object> const& objects, bool was_lost)
    {
        apply_listing(
            self->view, objects, self->watch->last_position(),
            base::boot_now());
        self->handlers.on_list(objects, was_lost);
        self->on_change();
    };
    wrapped.on_change =
        [self](platform::store_object const& object, bool was_lost)
    {
        apply_change(
            self->view, object, self->watch->last_position(), base::boot_now());
        self->handlers.on_change(object, was_lost);
        self->on_change();
    };
    wrapped.on_confirmed = [self](base::boot_time began)
    {
        confirm(self->view, began);
        self->handlers.on_confirmed(*self->view.confirmed);
    };
    return wrapped;
}

void view_feed::confirm_by_peer(
    platform::store_position const& position, base::boot_time until)
{
    if (this->view.position.era != position.era ||
        this->view.position < position)
    {
        return;
    }
    confirm(this->view, until);
    this->handlers.on_confirmed(*this->view.confirmed);
}

std::string view_feed::page_for(platform::store_position const& known) const
{
    auto const now = base::boot_now();
    wire::ViewPage page;
    page.set_era(this->view.position.era);
    page.set_revision(this->view.position.revision);
    page.set_age_ms(age_at(this->view.confirmed.value_or(now), now));
    page.set_was_lost(this->watch && this->watch->was_lost());
    auto const changes = changes_since(this->view, known);
    page.set_whole(changes.is_complete);
    for (auto const* cached : changes.objects)
    {
        auto& sent = *page.add_objects();
        sent.set_name(cached->object.name);
        sent.set_revision(cached->revision);
        sent.set_content(cached->object.content);
        sent.set_removed(cached->object.removed);
        sent.set_age_ms(age_at(cached->learned, now));
        sent.set_ahead(this->view.ahead.contains(cached->object.name));
    }
    return compress(page.SerializeAsString());
}

bool view_feed::apply_page(
    std::string const& bytes, base::boot_time requested_at)
{
    wire::ViewPage page;
    auto const text = decompress(bytes);
    if (!text || !page.ParseFromString(*text) || page.revision() == 0)
    {
        return false;
    }
    platform::store_position const position{page.era(), page.revision()};
    if (position.era > this->view.position.era && !page.whole())
    {
        return false;
    }
    // Only a later position is applied: a delayed answer must not revert what
    // has been adopted.
    if (position > this->view.position)
    {
        this->deliver_page(page, requested_at);
    }
    this->confirm_by_peer(position, requested_at - milliseconds(page.age_ms()));
    return true;
}

void view_feed::apply_ahead_page(
    std::string const& bytes, base::boot_time requested_at)
{
    wire::ViewPage page;
    auto const text = decompress(bytes);
    if (!text || !page.ParseFromString(*text) ||
        page.era() != this->view.position.era)
    {
        return;
    }
    auto const now = base::boot_now();
    for (auto const& sent : page.objects())
    {
        auto const object = read_object(sent, now - requested_at);
        if (this->version_readers.read &&
            this->version_readers.read(object.content) > this->in_force())
        {
            hold_ahead(this->view, object, now);
            this->handlers.on_change(object, false);
        }
    }
}

void view_feed::deliver_page(
    wire::ViewPage const& page, base::boot_time requested_at)
{
    auto const now = base::boot_now();
    std::vector<platform::store_object> objects;
    for (auto const& sent : page.objects())
    {
        objects.push_back(read_object(sent, now - requested_at));
    }
    auto const lost = page.was_lost();
    platform::store_position const position{page.era(), page.revision()};
    if (this->view.position.era != 0 &&
        position.era > this->view.position.era &&
        this->handlers.on_store_restored)
    {
        this->handlers.on_store_restored(this->view.position, position);
    }
    if (page.whole())
    {
        apply_listing(this->view, objects, position, now);
        this->handlers.on_list(objects, lost);
    }
    else
    {
        for (auto const& object : objects)
        {
            apply_change(this->view, object, position, now);
            this->handlers.on_change(object, lost);
        }
        this->view.position = position;
    }
    for (auto const& sent : page.objects())
    {
        if (sent.ahead())
        {
            mark_ahead(this->view, sent.name());
        }
    }
}

} // namespace foxtailvale::gateway
