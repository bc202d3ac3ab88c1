#include <net/response_reader.hpp>

#include <limits>

namespace foxtailvale::net
{

namespace
{

// Response heads have a few hundred bytes. Larger ones are rejected as invalid,
// so that a faulty server cannot exhaust the memory.
constexpr std::uint32_t max_head_bytes = 16 * 1024;

// The parser accepts any three digits.
bool is_status(int status)
{
    return status >= 100 && status <= 599;
}

} // namespace

response_reader::response_reader(
    std::function<void(response_head const&)> on_head,
    std::function<void(std::string_view)> on_data)
    : head_handler(std::move(on_head)), data_handler(std::move(on_data))
{
    this->eager(true);
    this->header_limit(max_head_bytes);
    // Boost 1.74 treats "no limit" as a limit of zero bytes for bodies with an
    // announced length, and rejects each of them as too large.
    this->body_limit(std::numeric_limits<std::uint64_t>::max());
}

response_head const& response_reader::head() const
{
    return this->received_head;
}

void response_reader::on_request_impl(
    boost::beast::http::verb, text, text, int, error_code& error)
{
    error = {};
}

void response_reader::on_response_impl(int status, text, int, error_code& error)
{
    error = is_status(status) ? error_code()
                              : boost::beast::http::error::bad_status;
    this->received_head.status = static_cast<unsigned>(status);
}

void response_reader::on_field_impl(
    boost::beast::http::field name_id, text name, text value, error_code& error)
{
    error = {};
    if (name_id == boost::beast::http::field::transfer_encoding)
    {
        // The parser passes on the bytes of every other coding as they are.
        auto const is_known =
            equal_names({value.data(), value.size()}, "chunked") &&
            !find_field(this->received_head.fields, "transfer-encoding");
        if (!is_known)
        {
            error = boost::beast::http::error::bad_transfer_encoding;
        }
    }
    this->received_head.fields.push_back(
        {std::string(name), std::string(value)});
}

void response_reader::on_header_impl(error_code& error)
{
    error = {};
    this->received_head.keep_alive = this->keep_alive();
    this->received_head.delimited = !this->need_eof();
    this->head_handler(this->received_head);
}

void response_reader::on_body_init_impl(
    boost::optional<std::uint64_t> const&, error_code& error)
{
    error = {};
}

std::size_t response_reader::on_body_impl(text data, error_code& error)
{
    error = {};
    this->data_handler({data.data(), data.size()});
    return data.size();
}

void response_reader::on_chunk_header_impl(
    std::uint64_t, text, error_code& error)
{
    error = {};
}

std::size_t
response_reader::on_chunk_body_impl(std::uint64_t, text data, error_code& error)
{
    error = {};
    this->data_handler({data.data(), data.size()});
    return data.size();
}

void response_reader::on_finish_impl(error_code& error)
{
    error = {};
}

} // namespace foxtailvale::net
