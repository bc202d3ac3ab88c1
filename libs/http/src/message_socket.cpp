#include "message_socket.hpp"

#include <Poco/Net/StreamSocketImpl.h>

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

} // namespace

Poco::Net::StreamSocket make_message_socket()
{
    return {new message_socket_impl};
}

void allow_end_of_input(Poco::Net::StreamSocket& socket)
{
    if (auto* const own = dynamic_cast<message_socket_impl*>(socket.impl()))
    {
        own->may_end = true;
    }
}

} // namespace foxtailvale::http
