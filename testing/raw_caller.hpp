#ifndef FOXTAILVALE_TESTING_RAW_CALLER_HPP
#define FOXTAILVALE_TESTING_RAW_CALLER_HPP

#include "test_address.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <array>
#include <cstdint>
#include <string>

namespace foxtailvale::testing
{

// A caller that keeps its connection and sends and reads plain text.
class raw_caller
{
public:
    // Connects to a port of the test's own address.
    explicit raw_caller(std::uint16_t port)
        : socket(Poco::Net::SocketAddress(own_address(), port))
    {
        this->socket.setReceiveTimeout(Poco::Timespan(5, 0));
    }

    void send(std::string const& text)
    {
        this->socket.sendBytes(text.data(), static_cast<int>(text.size()));
    }

    // Reads until the text ends so, or the connection ends. An empty end reads
    // to the end of the connection. A failure or a timeout (5 s) is appended in
    // brackets.
    std::string read_until(std::string const& end)
    {
        std::string text;
        std::array<char, 4096> piece{};
        try
        {
            while (end.empty() || !text.ends_with(end))
            {
                auto const count = this->socket.receiveBytes(
                    piece.data(), static_cast<int>(piece.size()));
                if (count <= 0)
                {
                    break;
                }
                text.append(piece.data(), static_cast<std::size_t>(count));
            }
        }
        catch (Poco::Exception const& fault)
        {
            text += "[" + fault.displayText() + "]";
        }
        return text;
    }

    Poco::Net::StreamSocket socket;
};

} // namespace foxtailvale::testing

#endif
