#include "connection.hpp"
#include "message_socket.hpp"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/ThreadPool.h>
#include <http/http_server.hpp>

#include <algorithm>
#include <array>
#include <istream>
#include <ostream>
#include <stdexcept>

namespace foxtailvale::http
{

namespace
{

// Stack size of a connection's thread, in bytes; handlers keep bodies on the
// heap.
constexpr int stack_bytes = 256 * 1024;

constexpr int max_queued_connections = 1024;
constexpr int idle_thread_seconds = 60;

Poco::Net::ServerSocket listen_at(server_options const& options)
{
    Poco::Net::SocketAddress const address(options.address, options.port);
    try
    {
        return message_server_socket(address, max_queued_connections);
    }
    catch (Poco::Exception const& fault)
    {
        throw std::runtime_error(
            "cannot listen at " + address.toString() + ": " +
            fault.displayText());
    }
}

} // namespace

server::server(
    server_options const& options,
    server_handler handler,
    bad_head_handler bad_head)
    : table(std::make_shared<connection_table>()),
      threads(std::make_unique<Poco::ThreadPool>(
          1, options.max_threads, idle_thread_seconds, stack_bytes))
{
    Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
    params->setMaxThreads(options.max_threads);
    params->setMaxQueued(max_queued_connections);
    params->setKeepAlive(true);
    auto const shared = std::make_shared<connection_context>(connection_context{
        std::move(handler), std::move(bad_head), params, this->table});
    this->socket =
        std::make_unique<Poco::Net::ServerSocket>(listen_at(options));
    this->listener = std::make_unique<Poco::Net::TCPServer>(
        new connection_factory(shared), *this->threads, *this->socket, params);
    this->listener->start();
}

server::~server()
{
    this->listener->stop();
    this->table->abort();
    this->threads->joinAll();
}

bool server::drain(std::chrono::milliseconds max_wait)
{
    this->listener->stop();
    // POCO leaves the socket open: callers would be accepted and never
    // answered.
    this->socket->close();
    this->table->stop();
    return this->table->wait_idle(max_wait);
}

bool read_body(
    Poco::Net::HTTPServerRequest& request,
    std::uint64_t max_bytes,
    std::string& body)
{
    constexpr std::size_t piece_bytes = 16 * 1024;
    std::array<char, piece_bytes> piece{};
    auto const has_body =
        request.hasContentLength() || request.getChunkedTransferEncoding();
    auto& stream = request.stream();
    while (has_body && stream)
    {
        stream.read(piece.data(), piece.size());
        if (stream.bad())
        {
            throw cut_message("request body is not complete");
        }
        body.append(piece.data(), static_cast<std::size_t>(stream.gcount()));
        if (body.size() > max_bytes)
        {
            return false;
        }
    }
    return true;
}

void send_text(
    Poco::Net::HTTPServerResponse& response,
    int status,
    std::string const& content_type,
    std::string const& body)
{
    response.setStatusAndReason(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    response.setContentType(content_type);
    response.setContentLength(static_cast<std::streamsize>(body.size()));
    response.send() << body << std::flush;
}

} // namespace foxtailvale::http
