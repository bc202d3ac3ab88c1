#ifndef FOXTAILVALE_HTTP_REQUEST_LEDGER_HPP
#define FOXTAILVALE_HTTP_REQUEST_LEDGER_HPP

#include <Poco/Net/HTTPServerRequest.h>

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace foxtailvale::http
{

// How the reading of a request's body ended.
enum class body_end
{
    whole,
    too_large,
    // All requests together hold more than they may, and this one goes first.
    refused,
};

// What the requests of one server hold together. When they exceed the limit, or
// no worker is free, those that are still being read are revoked: first the one
// that has held most for the longest time. Safe from any thread.
class request_ledger
{
public:
    // The limit is in bytes of bodies.
    explicit request_ledger(std::size_t limit);

    // A request begins, and ends, on the connection with this descriptor.
    void begin(int connection);
    void end(int connection);

    // Reads a request's body like http::read_body(), and counts it from then to
    // its end. Throws cut_message like that function.
    body_end read_body(
        Poco::Net::HTTPServerRequest& request,
        std::uint64_t max_bytes,
        std::string& body);

    // Revokes up to this number of requests that have been read for at least
    // this long.
    void revoke(std::size_t count, std::chrono::milliseconds least_age);

private:
    struct held_request
    {
        std::chrono::steady_clock::time_point began;
        std::size_t bytes = 0;
        bool is_read = false;
        bool is_revoked = false;
    };
    using table = std::map<int, held_request>;

    // Counts the bytes that the body holds now; returns false if the request is
    // to be refused.
    bool count(int connection, std::size_t bytes);
    bool is_revoked(int connection);
    // The request to revoke next; the end if there is none. The caller holds
    // the lock, as for the next function.
    table::iterator choose(std::chrono::milliseconds least_age);
    static void revoke(table::value_type& chosen);

    std::size_t limit;
    std::size_t total = 0;
    std::mutex mutex;
    std::condition_variable freed;
    table requests;
};

} // namespace foxtailvale::http

#endif
