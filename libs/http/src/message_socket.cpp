#include "message_socket.hpp"

#include <Poco/Net/ServerSocketImpl.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <sys/socket.h>

#include <cerrno>
#include <typeinfo>

namespace foxtailvale::http
{

POCO_IMPLEMENT_EXCEPTION(cut_message, Poco::Net::NetException, "cut message")

namespace
{

class message_socket_impl : public Poco::Net::StreamSocketImpl
{
public:
    using StreamSocketImpl::StreamSocketImpl;

    int receiveBytes(void* buffer, int length, int flags) override
    {
        auto const count =
            StreamSocketImpl::receiveBytes(buffer, length, flags);
        if (count == 0 && length > 0 && !this->may_end)
        {
            throw cut_message("connection closed within the message");
        }
        return count;
    }

    using StreamSocketImpl::receiveBytes;

    bool may_end = false;
};

class message_server_socket_impl : public Poco::Net::ServerSocketImpl
{
public:
    // POCO's own makes sockets of its own kind.
    Poco::Net::SocketImpl*
    acceptConnection(Poco::Net::SocketAddress& peer) override
    {
        sockaddr_storage address{};
        auto* const generic = reinterpret_cast<sockaddr*>(&address);
        socklen_t length = sizeof address;
        auto accepted = ::accept(this->sockfd(), generic, &length);
        while (accepted < 0 && errno == EINTR)
        {
            accepted = ::accept(this->sockfd(), generic, &length);
        }
        if (accepted < 0)
        {
            error();
        }
        peer = Poco::Net::SocketAddress(generic, length);
        return new message_socket_impl(accepted);
    }
};

} // namespace

void allow_end_of_input(Poco::Net::StreamSocket& socket, bool allowed)
{
    if (auto* const own = dynamic_cast<message_socket_impl*>(socket.impl()))
    {
        own->may_end = allowed;
    }
}

message_server_socket::message_server_socket(
    Poco::Net::SocketAddress const& address, int backlog)
    : ServerSocket(new message_server_socket_impl, true)
{
    this->bind(address, true);
    this->listen(backlog);
}

} // namespace foxtailvale::http
