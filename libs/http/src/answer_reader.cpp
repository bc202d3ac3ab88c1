#include "answer_reader.hpp"

#include <net/client_connection.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>

#include <utility>

namespace foxtailvale::http
{

namespace
{

response read_head(net::response_head const& received)
{
    response head;
    head.status = received.status;
    head.content_type =
        net::find_field(received.fields, "content-type").value_or("");
    for (auto const& [name, value] : received.fields)
    {
        head.headers.emplace(name, value);
    }
    return head;
}

} // namespace

answer_reader::answer_reader(
    request const& call_request, piece_handler const& handler)
    : call(call_request), handle(handler)
{
}

answer_reader::~answer_reader()
{
    if (this->call.budget)
    {
        this->call.budget->give_back(this->budgeted);
    }
}

void answer_reader::put(std::string_view bytes)
{
    this->input.append(bytes);
    this->untaken_bytes += this->head ? 0 : bytes.size();
    this->parse();
    if (this->is_done())
    {
        return;
    }
    auto const is_endless =
        !this->head && this->untaken_bytes > net::max_untaken_bytes;
    if (is_endless || this->input.size() > net::max_unparsed_bytes)
    {
        this->fail("no end of the head, a chunk's size or trailing fields");
    }
}

void answer_reader::parse()
{
    while (!this->input.empty() && !this->is_done())
    {
        if (!this->reader)
        {
            this->interim = false;
            this->reader = std::make_unique<net::response_reader>(
                [this](net::response_head const& received)
                {
                    this->on_head(received);
                },
                [this](std::string_view data)
                {
                    this->on_data(data);
                });
        }
        boost::system::error_code error;
        auto const used =
            this->reader->put(boost::asio::buffer(this->input), error);
        this->input.erase(0, used);
        if (error && error != boost::beast::http::error::need_more)
        {
            this->fail("no HTTP response: " + error.message());
            return;
        }
        if (!this->reader->is_done())
        {
            if (error || used == 0)
            {
                return;
            }
            continue;
        }
        if (this->interim)
        {
            this->reader.reset();
            continue;
        }
        this->finish();
    }
}

void answer_reader::put_end()
{
    if (this->is_done() || !this->reader || this->interim)
    {
        return;
    }
    boost::system::error_code error;
    this->reader->put_eof(error);
    if (!error && this->reader->is_done())
    {
        this->finish();
    }
}

void answer_reader::on_head(net::response_head const& received)
{
    this->interim = received.status < 200;
    if (this->interim)
    {
        return;
    }
    this->head = read_head(received);
    this->is_stream = this->head->content_type.starts_with("text/event-stream");
    this->keep_alive = received.keep_alive && received.delimited;
}

void answer_reader::on_data(std::string_view data)
{
    if (this->interim || this->is_done())
    {
        return;
    }
    if (this->is_stream)
    {
        this->add_to_events(data);
        return;
    }
    this->add_to_body(data);
}

void answer_reader::add_to_body(std::string_view data)
{
    if (this->pending.size() + data.size() > this->call.max_body_bytes)
    {
        this->fail("body is too large");
        return;
    }
    if (this->call.budget)
    {
        if (!this->call.budget->take(data.size()))
        {
            this->fail("the bodies of all calls together are too large");
            return;
        }
        this->budgeted += data.size();
    }
    this->pending.append(data);
}

void answer_reader::add_to_events(std::string_view data)
{
    this->pending.append(data);
    for (auto end = this->pending.find('\n', this->line_begin);
         end != std::string::npos && !this->stopped;
         end = this->pending.find('\n', this->line_begin))
    {
        auto const line = std::string_view(this->pending)
                              .substr(this->line_begin, end - this->line_begin);
        this->line_begin = end + 1;
        if (line.empty() || line == "\r")
        {
            auto event = this->pending.substr(0, this->line_begin);
            this->pending.erase(0, std::exchange(this->line_begin, 0));
            this->deliver(std::move(event));
        }
    }
    if (this->pending.size() > this->call.max_event_bytes)
    {
        this->fail("stream event is too large");
    }
}

void answer_reader::deliver(std::string piece)
{
    this->stopped = !this->handle(*this->head, std::move(piece));
}

void answer_reader::finish()
{
    if (this->is_done())
    {
        return;
    }
    if (!this->is_stream)
    {
        this->deliver(std::move(this->pending));
    }
    this->complete = true;
}

void answer_reader::fail(std::string why)
{
    if (!this->fault)
    {
        this->fault = std::move(why);
    }
}

bool answer_reader::is_done() const
{
    return this->complete || this->stopped || this->fault;
}

bool answer_reader::has_head() const
{
    return this->head.has_value();
}

bool answer_reader::is_whole() const
{
    return this->complete && !this->stopped;
}

bool answer_reader::keeps_connection() const
{
    return this->is_whole() && this->keep_alive && this->input.empty();
}

base::result<response> answer_reader::result() const
{
    if (this->complete || this->stopped)
    {
        return *this->head;
    }
    return base::fail(
        base::error_kind::endpoint_lost,
        this->fault.value_or("connection closed within the answer"));
}

} // namespace foxtailvale::http
