#ifndef FOXTAILVALE_GATEWAY_STORE_LIST_HPP
#define FOXTAILVALE_GATEWAY_STORE_LIST_HPP

#include <gateway/connection_pool.hpp>
#include <platform/objects.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace foxtailvale::gateway
{

// Lists a kind of the platform's objects once, page by page, and calls `done`
// with the result, or with nothing when the store did not answer. The listing
// may be seconds old: it costs a tenth of one that is confirmed to be current.
void list_objects(
    boost::asio::io_context& loop,
    connection_pool& pool,
    std::string const& store,
    platform::object_kind kind,
    std::function<void(std::optional<std::vector<platform::store_object>>)>
        done);

} // namespace foxtailvale::gateway

#endif
