#ifndef FOXTAILVALE_NODE_WEIGHTS_SERVER_HPP
#define FOXTAILVALE_NODE_WEIGHTS_SERVER_HPP

#include <weights/chunk_store.hpp>

#include <http/http_server.hpp>

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace foxtailvale::node
{

// Serves complete versions to the engine beside the agent over HTTP. Holds its
// own references to the chunks, so that a load continues undisturbed when the
// core drops or replaces versions.
class weights_server
{
public:
    explicit weights_server(http::server_options const& options);

    // Adds a complete version; an existing one with the same digest stays.
    void offer(std::string const& digest, weights::stored_version version);

    // Removes all versions but these.
    void keep_only(std::vector<std::string> const& digests);

private:
    void answer(
        Poco::Net::HTTPServerRequest& request,
        Poco::Net::HTTPServerResponse& response);

    std::mutex mutex;
    std::map<std::string, weights::stored_version> versions;
    http::server listener;
};

} // namespace foxtailvale::node

#endif
