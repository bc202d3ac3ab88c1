#ifndef FOXTAILVALE_HTTP_CONNECTION_HPP
#define FOXTAILVALE_HTTP_CONNECTION_HPP

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/TCPServerConnection.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <http/http_server.hpp>

#include <chrono>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>

namespace foxtailvale::http
{

class connection;

// The open connections of one server. A stop distinguishes those that wait for
// a request from those that are being answered. Safe from any thread.
class connection_table
{
public:
    void add(connection const& owner, Poco::Net::StreamSocket const& socket);
    void remove(connection const& owner);

    // Marks the connection as answering a request, or as waiting for one.
    void set_busy(connection const& owner, bool busy);

    // Whether the server is stopping: a response then ends its connection.
    bool is_stopping();

    // Ends the connections that wait for a request; busy ones continue.
    void stop();

    // Waits until no connection is busy; returns false on timeout.
    bool wait_idle(std::chrono::milliseconds max_wait);

    // Closes all connections, including busy ones.
    void abort();

private:
    struct entry
    {
        Poco::Net::StreamSocket socket;
        bool busy = false;
    };

    bool has_busy() const;

    std::mutex mutex;
    std::condition_variable changed;
    std::map<connection const*, entry> open;
    bool stopping = false;
};

// State shared by all connections of a server.
struct connection_context
{
    server_handler handler;
    bad_head_handler bad_head;
    Poco::Net::HTTPServerParams::Ptr params;
    std::shared_ptr<connection_table> table;
};

// One HTTP connection: reads requests and answers them one after another.
// POCO's own connection class answers an unreadable head with an empty page,
// which nothing counts; this one passes it to the server's owner.
class connection : public Poco::Net::TCPServerConnection
{
public:
    connection(
        Poco::Net::StreamSocket const& socket,
        std::shared_ptr<connection_context const> shared);
    ~connection() override;
    connection(connection const&) = delete;
    connection& operator=(connection const&) = delete;

    void run() override;

private:
    std::shared_ptr<connection_context const> shared;
};

// Makes connections for POCO's TCP server.
class connection_factory : public Poco::Net::TCPServerConnectionFactory
{
public:
    explicit connection_factory(
        std::shared_ptr<connection_context const> shared);

    Poco::Net::TCPServerConnection*
    createConnection(Poco::Net::StreamSocket const& socket) override;

private:
    std::shared_ptr<connection_context const> shared;
};

} // namespace foxtailvale::http

#endif
