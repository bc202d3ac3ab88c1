#ifndef FOXTAILVALE_NET_MESSAGE_HPP
#define FOXTAILVALE_NET_MESSAGE_HPP

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace foxtailvale::net
{

// One header field as it was received; names keep their case.
struct field
{
    std::string name;
    std::string value;
};

using field_list = std::vector<field>;

// A complete request.
struct request
{
    std::string method;
    // Path and query as received.
    std::string target;
    field_list fields;
    std::string body;
};

// The bytes of a request as they are written.
struct outgoing_request
{
    outgoing_request(std::string text, std::string_view separate_body = {})
        : head(std::move(text)), body(separate_body)
    {
    }

    std::string head;
    // Written behind the head. Its owner keeps it until the exchange ends.
    std::string_view body;
};

// The head of a response, before its body.
struct response_head
{
    unsigned status = 0;
    field_list fields;
    // The sender keeps the connection open after this response.
    bool keep_alive = false;
    // The end of the body is marked by a length or by chunks; otherwise the
    // body ends with the connection.
    bool delimited = false;
};

// Compares two names without regard to ASCII case.
bool equal_names(std::string_view left, std::string_view right);

// Value of the first field of that name; nothing when there is none.
std::optional<std::string_view>
find_field(field_list const& fields, std::string_view name);

// True for fields that apply to one connection only (RFC 9110, 7.6.1) or
// describe the framing, which each hop writes anew.
bool is_hop_field(std::string_view name);

// The fields without those that apply to one connection only, which include the
// fields listed in the Connection field.
field_list end_to_end_fields(field_list const& fields);

// Serializes a request. The length is written for a body, and for methods that
// usually have one.
std::string serialize(request const& message);

// The same without the body, whose length it names.
std::string serialize_head(request const& message, std::size_t body_bytes);

// Serializes the head of a response, including the blank line.
std::string serialize_head(unsigned status, field_list const& fields);

} // namespace foxtailvale::net

#endif
