#ifndef FOXTAILVALE_HTTP_ANSWER_READER_HPP
#define FOXTAILVALE_HTTP_ANSWER_READER_HPP

#include <net/response_reader.hpp>

#include <http/http_client.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace foxtailvale::http
{

// Reads the answer to one call from the bytes of its connection and delivers
// its body to the handler: a stream of server-sent events event by event, any
// other body in one part. Informational answers before it are skipped. The call
// and the handler must outlive it.
class answer_reader
{
public:
    answer_reader(request const& call_request, piece_handler const& handler);
    ~answer_reader();
    answer_reader(answer_reader const&) = delete;
    answer_reader& operator=(answer_reader const&) = delete;

    void put(std::string_view bytes);

    // The connection ended in order, which ends a body without another end.
    void put_end();

    // Whether no more bytes are needed: the answer is complete or not one, or
    // the handler wants no more of it.
    bool is_done() const;

    bool has_head() const;

    // Whether all of the answer came and the handler took it.
    bool is_whole() const;

    // Whether the connection may carry another call.
    bool keeps_connection() const;

    // The head of the answer; endpoint_lost when it is not complete, is no HTTP
    // response or exceeds a limit of the call.
    base::result<response> result() const;

private:
    void parse();
    void on_head(net::response_head const& received);
    void on_data(std::string_view data);
    void add_to_body(std::string_view data);
    // Delivers the complete events. An incomplete one is not delivered at the
    // end: it would merge with the error event that follows it.
    void add_to_events(std::string_view data);
    void deliver(std::string piece);
    void finish();
    void fail(std::string why);

    request const& call;
    piece_handler const& handle;
    std::unique_ptr<net::response_reader> reader;
    std::string input;
    // Bytes received before the head.
    std::size_t untaken_bytes = 0;
    std::optional<response> head;
    bool interim = false;
    bool is_stream = false;
    bool keep_alive = false;
    // The body, or the event that is not complete yet.
    std::string pending;
    std::size_t line_begin = 0;
    std::size_t budgeted = 0;
    bool complete = false;
    bool stopped = false;
    std::optional<std::string> fault;
};

} // namespace foxtailvale::http

#endif
