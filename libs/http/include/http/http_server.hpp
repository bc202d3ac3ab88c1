#ifndef FOXTAILVALE_HTTP_HTTP_SERVER_HPP
#define FOXTAILVALE_HTTP_HTTP_SERVER_HPP

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Poco
{
class ThreadPool;
}

namespace Poco::Net
{
class ServerSocket;
class TCPServer;
} // namespace Poco::Net

namespace foxtailvale::http
{

using server_handler = std::function<void(
    Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&)>;

// Answers a request whose head cannot be parsed or that is cut; gets a
// description of the fault and the caller's IP. The connection is closed
// afterwards.
using bad_head_handler = std::function<void(
    std::string const& what,
    std::string const& caller,
    Poco::Net::HTTPServerResponse&)>;

class connection_table;

// Where a server listens and how many connections it handles at once.
struct server_options
{
    std::string address;
    std::uint16_t port = 0;
    std::uint16_t max_threads = 64;
};

// POCO's HTTP server around one function, which is called on a thread per
// connection. Listens from construction to destruction.
class server
{
public:
    // Throws std::runtime_error with the address when it cannot listen there.
    server(
        server_options const& options,
        server_handler handler,
        bad_head_handler bad_head = {});
    // Closes all connections, including busy ones.
    ~server();
    server(server const&) = delete;
    server& operator=(server const&) = delete;

    // Stops listening, closes connections that wait for a request and waits
    // until the requests in progress are answered; returns false on timeout.
    bool drain(std::chrono::milliseconds max_wait);

private:
    std::shared_ptr<connection_table> table;
    std::unique_ptr<Poco::ThreadPool> threads;
    std::unique_ptr<Poco::Net::ServerSocket> socket;
    std::unique_ptr<Poco::Net::TCPServer> listener;
};

// Reads a request's body; returns false when it is longer than the limit. A
// request with neither a length nor chunks has none. Throws cut_message when
// the connection ends or stalls within the body: the server then answers the
// request as a bad one, and its handler must not.
bool read_body(
    Poco::Net::HTTPServerRequest& request,
    std::uint64_t max_bytes,
    std::string& body);

// Sends a complete response.
void send_text(
    Poco::Net::HTTPServerResponse& response,
    int status,
    std::string const& content_type,
    std::string const& body);

} // namespace foxtailvale::http

#endif
