#include "requests.hpp"

#include <http/http_client.hpp>
#include <nlohmann/json.hpp>
#include <standins/synthetic.hpp>

#include <thread>

namespace foxtailvale::load
{

namespace
{

using clock = std::chrono::steady_clock;
using nlohmann::json;

// Time after the deadline within which the entry must have answered by itself;
// then the load tool gives up.
constexpr std::chrono::milliseconds response_grace{3000};
// Pause of a slow reader between two events of a stream.
constexpr std::chrono::milliseconds slow_reader_pause{40};

std::chrono::microseconds since(clock::time_point start)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(
        clock::now() - start);
}

http::request
common_request(load_settings const& settings, planned_request const& planned)
{
    http::request http_request;
    http_request.base = planned.entry;
    http_request.method = "POST";
    http_request.content_type = "application/json";
    http_request.timeout = settings.deadline + response_grace;
    http_request.headers["X-Workspace"] = planned.workspace;
    http_request.headers["X-Request-Id"] = planned.id;
    http_request.headers["X-Deadline-Ms"] =
        std::to_string(settings.deadline.count());
    return http_request;
}

std::string header(http::response const& head, std::string const& name)
{
    auto const found = head.headers.find(name);
    return found == head.headers.end() ? std::string() : found->second;
}

void record_headers(request_record& record, http::response const& head)
{
    record.generation = std::strtoull(
        header(head, "X-Release-Generation").c_str(), nullptr, 10);
    record.digest = header(head, "X-Weights-Digest");
}

void record_problem(request_record& record, std::string const& text)
{
    auto const problem = json::parse(text, nullptr, false);
    if (!problem.is_object())
    {
        record.ended = outcome::lost;
        return;
    }
    record.error = problem.value("type", "");
    record.error = record.error.substr(record.error.rfind(':') + 1);
    record.ran = problem.value("ran", "");
    record.ended = record.ran == "no" ? outcome::refused : outcome::failed;
}

void record_connection_error(request_record& record, base::error const& error)
{
    record.unreachable = error.kind == base::error_kind::peer_unreachable;
    record.error = "connection: " + error.detail;
}

// What was received on a stream.
struct stream_text
{
    std::string text;
    std::uint32_t tokens = 0;
    std::uint32_t right_tokens = 0;
    bool ended = false;
    std::string problem;
};

void process_event(
    stream_text& stream,
    std::string const& event,
    std::string const& digest,
    std::string const& prompt)
{
    constexpr std::string_view error_start = "event: error\ndata: ";
    constexpr std::string_view data_start = "data: ";
    if (event.starts_with(error_start))
    {
        stream.problem = event.substr(error_start.size());
        return;
    }
    if (event.starts_with("data: [DONE]"))
    {
        stream.ended = true;
        return;
    }
    if (!event.starts_with(data_start))
    {
        return;
    }
    auto const value =
        json::parse(event.substr(data_start.size()), nullptr, false);
    if (!value.is_object() || !value.contains("choices"))
    {
        return;
    }
    auto const token =
        value["choices"][0]["delta"].value("content", std::string());
    auto const expected = standins::answer_token(digest, prompt, stream.tokens);
    stream.right_tokens += token == expected ? 1 : 0;
    ++stream.tokens;
    stream.text += token;
}

outcome classify(stream_text const& stream, std::uint32_t expected)
{
    if (!stream.ended || stream.tokens < expected)
    {
        return outcome::lost;
    }
    if (stream.tokens == expected && stream.right_tokens == expected)
    {
        return outcome::right;
    }
    return stream.right_tokens > 0 ? outcome::mixed : outcome::wrong;
}

request_record
make_chat(load_settings const& settings, planned_request const& planned)
{
    request_record record;
    record.id = planned.id;
    auto http_request = common_request(settings, planned);
    http_request.path = "/v1/chat/completions";
    http_request.body =
        json{
            {"model", settings.model},
            {"stream", true},
            {"max_tokens", settings.tokens},
            {"messages",
             json::array({{{"role", "user"}, {"content", planned.prompt}}})}}
            .dump();
    auto const start = clock::now();
    stream_text stream;
    std::string error_body;
    auto const answer = http::stream(
        http_request,
        [&](http::response const& head, std::string const& piece)
        {
            if (head.status != 200)
            {
                error_body += piece;
                return true;
            }
            if (planned.slow_reader)
            {
                std::this_thread::sleep_for(slow_reader_pause);
            }
            if (record.first_token.count() == 0)
            {
                record.first_token = since(start);
            }
            process_event(
                stream, piece, header(head, "X-Weights-Digest"),
                planned.prompt);
            return true;
        });
    record.whole = since(start);
    if (!answer)
    {
        record_connection_error(record, answer.error());
        return record;
    }
    record_headers(record, answer.value());
    if (answer.value().status != 200)
    {
        record_problem(record, error_body);
    }
    else if (!stream.problem.empty())
    {
        record_problem(record, stream.problem);
    }
    else
    {
        record.ended = classify(stream, settings.tokens);
    }
    return record;
}

request_record
make_booking(load_settings const& settings, planned_request const& planned)
{
    request_record record;
    record.id = planned.id;
    record.booking = true;
    auto http_request = common_request(settings, planned);
    http_request.path = "/services/" + settings.service + "/bookings";
    http_request.headers["Idempotency-Key"] = planned.id;
    http_request.body = json{{"visit", planned.prompt}}.dump();
    auto const start = clock::now();
    auto const answer = http::call(http_request);
    record.whole = since(start);
    if (!answer)
    {
        record_connection_error(record, answer.error());
        return record;
    }
    record_headers(record, answer.value());
    if (answer.value().status != 200)
    {
        record_problem(record, answer.value().body);
        return record;
    }
    auto const value = json::parse(answer.value().body, nullptr, false);
    auto const right =
        value.is_object() && value.value("request", "") == planned.id &&
        value.value("bytes", std::size_t{0}) == http_request.body.size();
    record.ended = right ? outcome::right : outcome::wrong;
    return record;
}

} // namespace

request_record
make_request(load_settings const& settings, planned_request const& planned)
{
    auto record = planned.booking ? make_booking(settings, planned)
                                  : make_chat(settings, planned);
    record.entry = planned.entry;
    return record;
}

} // namespace foxtailvale::load
