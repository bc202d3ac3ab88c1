#ifndef FOXTAILVALE_TESTING_MALFORMED_FIELDS_HPP
#define FOXTAILVALE_TESTING_MALFORMED_FIELDS_HPP

#include <string>
#include <vector>

namespace foxtailvale::testing
{

// Lines that must not stand in the head of an answer that has the field
// "Content-Length: 2": they are no fields, or contradict that length.
inline std::vector<std::string> malformed_fields()
{
    using namespace std::string_literals;
    return {"Bad Name: x",        "Bad\tName: x",
            "Bad\x01Name: x",     "Bad\0Name: x"s,
            "Bad\x80Name: x",     ": x",
            "Name : x",           "Name x",
            "Name: x\x01y",       "Name: x\0y"s,
            "Content-Length : 1", "Transfer-Encoding\x01: chunked",
            "Content-Length: 1",  "Content-Length: +2",
            "Content-Length: -2", "Transfer-Encoding: chunked"};
}

} // namespace foxtailvale::testing

#endif
