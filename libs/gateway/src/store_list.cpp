#include "store_list.hpp"

#include "fetch.hpp"

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

    void request_next_page()
    {
        auto const after =
            this->objects.empty() ? std::string() : this->objects.back().name;
        fetch(
            this->loop, this->pool, this->store,
            platform::list_request(this->kind, after, true), page_timeout,
            [self = this->shared_from_this()](std::optional<fetched> response)
            {
                self->handle_response(response);
            });
    }

    void handle_response(std::optional<fetched> const& response)
    {
        auto reply = response && response->status == 200
                         ? platform::read_store_reply(response->body)
                         : base::fail(base::error_kind::platform_unavailable);
        if (reply.has_error())
        {
            this->done(std::nullopt);
            return;
        }
        auto const more =
            reply.value().truncated && !reply.value().objects.empty();
        for (auto& object : reply.value().objects)
        {
            this->objects.push_back(std::move(object));
        }
        if (more)
        {
            this->request_next_page();
            return;
        }
        this->done(std::move(this->objects));
    }

    boost::asio::io_context& loop;
    connection_pool& pool;
    std::string store;
    platform::object_kind kind;
    std::vector<platform::store_object> objects;
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
    operation->request_next_page();
}

} // namespace foxtailvale::gateway
