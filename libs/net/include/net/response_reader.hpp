#ifndef FOXTAILVALE_NET_RESPONSE_READER_HPP
#define FOXTAILVALE_NET_RESPONSE_READER_HPP

#include <net/message.hpp>

#include <boost/beast/http/basic_parser.hpp>

#include <functional>
#include <utility>

namespace foxtailvale::net
{

// Parses responses with Beast and passes the head and the body data to
// callbacks as they arrive. Everything that reads responses uses it, so that
// all refuse the same ones: those with a status outside of 100 to 599, a
// malformed field, contradicting lengths, a transfer coding other than chunked
// or a head over 16 KiB.
class response_reader : public boost::beast::http::basic_parser<false>
{
public:
    response_reader(
        std::function<void(response_head const&)> on_head,
        std::function<void(std::string_view)> on_data);

    response_head const& head() const;

private:
    using text = boost::beast::string_view;
    using error_code = boost::beast::error_code;

    void on_request_impl(
        boost::beast::http::verb, text, text, int, error_code& error) override;
    void on_response_impl(
        int status, text reason, int version, error_code& error) override;
    void on_field_impl(
        boost::beast::http::field,
        text name,
        text value,
        error_code& error) override;
    void on_header_impl(error_code& error) override;
    void on_body_init_impl(
        boost::optional<std::uint64_t> const&, error_code& error) override;
    std::size_t on_body_impl(text data, error_code& error) override;
    void on_chunk_header_impl(std::uint64_t, text, error_code& error) override;
    std::size_t
    on_chunk_body_impl(std::uint64_t, text data, error_code& error) override;
    void on_finish_impl(error_code& error) override;

    std::function<void(response_head const&)> head_handler;
    std::function<void(std::string_view)> data_handler;
    response_head received_head;
};

} // namespace foxtailvale::net

#endif
