#include <net/datagram_socket.hpp>

#include <boost/asio/buffer.hpp>

#include <utility>

namespace foxtailvale::net
{

datagram_socket::datagram_socket(
    boost::asio::io_context& loop, handler callback)
    : socket(loop), on_datagram(std::move(callback))
{
}

std::optional<std::string> datagram_socket::open(udp_endpoint address)
{
    boost::system::error_code error;
    this->socket.open(address.protocol(), error);
    if (!error)
    {
        this->socket.bind(address, error);
    }
    if (!error)
    {
        this->socket.non_blocking(true, error);
    }
    if (error)
    {
        return error.message();
    }
    this->receive();
    return std::nullopt;
}

void datagram_socket::send(udp_endpoint const& target, std::string_view bytes)
{
    boost::system::error_code dropped;
    this->socket.send_to(
        boost::asio::buffer(bytes.data(), bytes.size()), target, 0, dropped);
}

void datagram_socket::close()
{
    boost::system::error_code ignored;
    this->socket.close(ignored);
}

void datagram_socket::receive()
{
    this->socket.async_receive_from(
        boost::asio::buffer(this->receive_buffer), this->source,
        [self = this->shared_from_this()](
            boost::system::error_code error, std::size_t count)
        {
            if (!self->socket.is_open())
            {
                return;
            }
            if (!error)
            {
                self->on_datagram(
                    self->source, {self->receive_buffer.data(), count});
            }
            self->receive();
        });
}

} // namespace foxtailvale::net
