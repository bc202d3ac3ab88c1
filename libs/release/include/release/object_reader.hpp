#ifndef FOXTAILVALE_RELEASE_OBJECT_READER_HPP
#define FOXTAILVALE_RELEASE_OBJECT_READER_HPP

#include <release/document.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailvale::release
{

// Reads one object of a document key by key and adds a fault for each key
// that is missing, of the wrong type, out of range or not known. A value with
// a fault reads as the given default, so that one pass finds all faults.
class object_reader
{
public:
    // The path is a JSON pointer, "" for the root.
    object_reader(
        document const& source, std::string path, std::vector<fault>& faults);

    std::string text(std::string_view key);
    std::string text_or(std::string_view key, std::string fallback);
    std::uint64_t
    number(std::string_view key, std::uint64_t least, std::uint64_t most);
    std::uint64_t number_or(
        std::string_view key,
        std::uint64_t fallback,
        std::uint64_t least,
        std::uint64_t most);
    // A length of time written in milliseconds.
    std::chrono::milliseconds milliseconds_or(
        std::string_view key,
        std::chrono::milliseconds fallback,
        std::chrono::milliseconds least,
        std::chrono::milliseconds most);
    bool flag_or(std::string_view key, bool fallback);
    std::vector<std::string> texts_or_empty(std::string_view key);

    // Whether the key is there; counts as knowing it.
    bool has(std::string_view key);

    // Reader of the object under the key; an absent key reads as an empty
    // object.
    object_reader child(std::string_view key);

    // Keys of this object, each of which counts as known.
    std::vector<std::string> keys();

    // Number of elements of the array under the key; zero when absent.
    std::size_t size(std::string_view key);

    // Reader of one element of the array under the key.
    object_reader element(std::string_view key, std::size_t index);

    // Adds a fault at the key, or at this object when the key is absent.
    void add_fault(std::string_view key, std::string what);

    // Adds a fault for each key nobody asked for. Call last.
    void finish();

private:
    nlohmann::json const* value_at(std::string_view key);
    std::string path_of(std::string_view key) const;
    position position_of(std::string const& where) const;

    document const* source;
    std::string path;
    nlohmann::json const* object;
    std::vector<fault>* faults;
    std::set<std::string, std::less<>> known;
};

} // namespace foxtailvale::release

#endif
