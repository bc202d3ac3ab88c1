#include "page_text.hpp"

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

// What was as old as the page says when the page was asked for.
platform::store_object
read_object(wire::ViewObject const& sent, milliseconds on_its_way)
{
    platform::store_object object;
    object.name = sent.name();
    object.revision = sent.revision();
    object.content = sent.content();
    object.removed = sent.removed();
    object.age = milliseconds(sent.age_ms()) + on_its_way;
    return object;
}

} // namespace

view_feed::view_feed(
    boost::asio::io_context& event_loop,
    watch_settings chosen,
    watch_handlers callbacks,
    own_numbers given)
    : loop(event_loop), settings(chosen), handlers(std::move(callbacks)),
      numbers(std::move(given))
{
    this->view.number = this->numbers.of;
}

view_feed::~view_feed()
{
    this->stop_watch();
}

platform::object_kind view_feed::kind() const
{
    return this->settings.kind;
}

platform::store_position const& view_feed::mark() const
{
    return this->view.mark;
}

bool view_feed::is_ahead() const
{
    return !this->view.ahead.empty();
}

std::uint64_t view_feed::in_force() const
{
    return this->numbers.in_force ? this->numbers.in_force() : 0;
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
        this->loop, this->settings, this->own_handlers(), this->view.mark.era);
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

watch_handlers view_feed::own_handlers()
{
    // A stopped watch calls nothing any more, and the feed stops its watch.
    auto* const self = this;
    watch_handlers wrapped = this->handlers;
    wrapped.on_list =
        [self](
            std::vector<platform::store_object> const& objects, bool was_lost)
    {
        put_list(
            self->view, objects, self->watch->mark_read(), base::boot_now());
        self->handlers.on_list(objects, was_lost);
        self->on_change();
    };
    wrapped.on_change =
        [self](platform::store_object const& object, bool was_lost)
    {
        put_change(
            self->view, object, self->watch->mark_read(), base::boot_now());
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
    platform::store_position const& mark, base::boot_time until)
{
    if (this->view.mark.era != mark.era || this->view.mark < mark)
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
    page.set_era(this->view.mark.era);
    page.set_revision(this->view.mark.revision);
    page.set_age_ms(age_at(this->view.confirmed.value_or(now), now));
    page.set_was_lost(this->watch && this->watch->was_lost());
    auto const part = page_after(this->view, known);
    page.set_whole(part.whole);
    for (auto const* kept : part.objects)
    {
        auto& sent = *page.add_objects();
        sent.set_name(kept->object.name);
        sent.set_revision(kept->revision);
        sent.set_content(kept->object.content);
        sent.set_removed(kept->object.removed);
        sent.set_age_ms(age_at(kept->learned, now));
        sent.set_ahead(this->view.ahead.contains(kept->object.name));
    }
    return compress(page.SerializeAsString());
}

bool view_feed::take_page(std::string const& bytes, base::boot_time asked)
{
    wire::ViewPage page;
    auto const text = expand(bytes);
    if (!text || !page.ParseFromString(*text) || page.revision() == 0)
    {
        return false;
    }
    platform::store_position const mark{page.era(), page.revision()};
    if (mark.era > this->view.mark.era && !page.whole())
    {
        return false;
    }
    // Only forwards: an answer that was delayed must not take back what has
    // been adopted.
    if (mark > this->view.mark)
    {
        this->hand_on(page, asked);
    }
    this->confirm_by_peer(mark, asked - milliseconds(page.age_ms()));
    return true;
}

void view_feed::take_ahead(std::string const& bytes, base::boot_time asked)
{
    wire::ViewPage page;
    auto const text = expand(bytes);
    if (!text || !page.ParseFromString(*text) ||
        page.era() != this->view.mark.era)
    {
        return;
    }
    auto const now = base::boot_now();
    for (auto const& sent : page.objects())
    {
        auto const object = read_object(sent, now - asked);
        if (this->numbers.of &&
            this->numbers.of(object.content) > this->in_force())
        {
            hold_ahead(this->view, object, now);
            this->handlers.on_change(object, false);
        }
    }
}

void view_feed::hand_on(wire::ViewPage const& page, base::boot_time asked)
{
    auto const now = base::boot_now();
    std::vector<platform::store_object> objects;
    for (auto const& sent : page.objects())
    {
        objects.push_back(read_object(sent, now - asked));
    }
    auto const lost = page.was_lost();
    platform::store_position const mark{page.era(), page.revision()};
    if (this->view.mark.era != 0 && mark.era > this->view.mark.era &&
        this->handlers.on_return)
    {
        this->handlers.on_return(this->view.mark, mark);
    }
    if (page.whole())
    {
        put_list(this->view, objects, mark, now);
        this->handlers.on_list(objects, lost);
    }
    else
    {
        for (auto const& object : objects)
        {
            put_change(this->view, object, mark, now);
            this->handlers.on_change(object, lost);
        }
        this->view.mark = mark;
    }
    for (auto const& sent : page.objects())
    {
        if (sent.ahead())
        {
            note_ahead(this->view, sent.name());
        }
    }
}

} // namespace foxtailvale::gateway
