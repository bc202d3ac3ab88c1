#include "store_list.hpp"

#include "fetch.hpp"

namespace foxtailvale::gateway
{

namespace
{

constexpr std::chrono::milliseconds page_limit{1500};

// A listing that is under way; alive until its last page has come.
struct listing : std::enable_shared_from_this<listing>
{
    listing(
        boost::asio::io_context& event_loop,
        connection_pool& connections,
        std::string address,
        platform::object_kind wanted)
        : loop(event_loop), pool(connections), store(std::move(address)),
          kind(wanted)
    {
    }

    void next()
    {
        auto const after =
            this->objects.empty() ? std::string() : this->objects.back().name;
        fetch(
            this->loop, this->pool, this->store,
            platform::list_request(this->kind, after, true), page_limit,
            [self = this->shared_from_this()](std::optional<fetched> response)
            {
                self->take(response);
            });
    }

    void take(std::optional<fetched> const& response)
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
            this->next();
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
    auto const made = std::make_shared<listing>(loop, pool, store, kind);
    made->done = std::move(done);
    made->next();
}

} // namespace foxtailvale::gateway
