#include "store_list.hpp"

#include "fetch.hpp"

#include <gateway/listing.hpp>
#include <kernel/events.hpp>

namespace foxtailvale::gateway
{

namespace
{

constexpr std::chrono::milliseconds page_timeout{1500};

// A listing in progress; stays alive until its last page has arrived.
struct list_operation : std::enable_shared_from_this<list_operation>
{
    list_operation(
        boost::asio::io_context& event_loop,
        connection_pool& connections,
        std::string address,
        platform::object_kind wanted)
        : loop(event_loop), pool(connections), store(std::move(address)),
          kind(wanted)
    {
    }

    void request_page(std::string const& after)
    {
        auto const request = platform::list_request(this->kind, after, true);
        this->target = request.target;
        fetch(
            this->loop, this->pool, this->store, request, page_timeout,
            [self = this->shared_from_this()](std::optional<fetched> response)
            {
                self->handle_response(response);
            });
    }

    void handle_response(std::optional<fetched> const& response)
    {
        auto const next = this->take_page(response);
        if (next.has_error())
        {
            kernel::log_error(
                next.error(), {{"request", abbreviate_target(this->target)}});
            this->done(std::nullopt);
            return;
        }
        if (next.value())
        {
            this->request_page(*next.value());
            return;
        }
        this->done(std::move(this->pages.objects));
    }

    // Returns the name after which to request the next page, if there is one.
    base::result<std::optional<std::string>>
    take_page(std::optional<fetched> const& response)
    {
        if (!response || response->status != 200)
        {
            auto const status = response ? response->status : 0;
            return base::fail(
                base::error_kind::platform_unavailable,
                "status " + std::to_string(status));
        }
        auto reply = platform::read_store_reply(response->body);
        if (reply.has_error())
        {
            return reply.error();
        }
        return add_page(this->pages, std::move(reply.value()));
    }

    boost::asio::io_context& loop;
    connection_pool& pool;
    std::string store;
    platform::object_kind kind;
    // Of the last request.
    std::string target;
    listing pages;
    std::function<void(std::optional<std::vector<platform::store_object>>)>
        done;
};

} // namespace

void list_objects(
    boost::asio::io_context& loop,
    connection_pool& pool,
    std::string const& store,
    platform::object_kind kind,
    std::function<void(std::optional<std::vector<platform::store_object>>)>
        done)
{
    auto const operation =
        std::make_shared<list_operation>(loop, pool, store, kind);
    operation->done = std::move(done);
    operation->request_page({});
}

} // namespace foxtailvale::gateway
