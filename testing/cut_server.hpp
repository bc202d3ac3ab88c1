#ifndef FOXTAILVALE_TESTING_CUT_SERVER_HPP
#define FOXTAILVALE_TESTING_CUT_SERVER_HPP

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <memory>
#include <string>

namespace foxtailvale::testing
{

// Answers each connection's request with the bytes that the test chose last and
// ends the connection after them.
class cut_server
{
public:
    using tcp = boost::asio::ip::tcp;

    explicit cut_server(boost::asio::io_context& event_loop)
        : loop(event_loop),
          acceptor(
              event_loop,
              tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
    {
        this->accept();
    }

    tcp::endpoint address() const
    {
        return this->acceptor.local_endpoint();
    }

    std::string bytes;
    // Whether the connection ends with a reset.
    bool resets = false;

private:
    struct connection
    {
        explicit connection(boost::asio::io_context& event_loop)
            : socket(event_loop)
        {
        }

        tcp::socket socket;
        std::string asked;
    };

    void accept()
    {
        auto const accepted = std::make_shared<connection>(this->loop);
        this->acceptor.async_accept(
            accepted->socket,
            [this, accepted](boost::system::error_code error)
            {
                if (!error)
                {
                    this->answer(accepted);
                    this->accept();
                }
            });
    }

    void answer(std::shared_ptr<connection> const& held)
    {
        boost::asio::async_read_until(
            held->socket, boost::asio::dynamic_buffer(held->asked), "\r\n\r\n",
            [this, held](boost::system::error_code error, std::size_t)
            {
                if (error)
                {
                    return;
                }
                boost::asio::write(
                    held->socket, boost::asio::buffer(this->bytes), error);
                held->socket.set_option(
                    boost::asio::socket_base::linger(this->resets, 0), error);
                held->socket.close(error);
            });
    }

    boost::asio::io_context& loop;
    tcp::acceptor acceptor;
};

} // namespace foxtailvale::testing

#endif
