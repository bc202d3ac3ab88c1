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

// Reads one object of a document key by key and adds a fault for each key that
// is missing, of the wrong type, out of range or unknown. A value with a fault
// is replaced by the given default, so that one pass finds all faults.
class object_reader
{
public:
    // The path is a JSON pointer, "" for the root. The document and the list of
    // faults must outlive the reader.
    object_reader(
        document const& source, std::string path, std::vector<fault>& faults);

    std::string text(std::string_view key);
    std::string text_or(std::string_view key, std::string fallback);
    std::uint64_t number(
        std::string_view key, std::uint64_t min_value, std::uint64_t max_value);
    std::uint64_t number_or(
        std::string_view key,
        std::uint64_t fallback,
        std::uint64_t min_value,
        std::uint64_t max_value);
    // A duration, written as a number of milliseconds.
    std::chrono::milliseconds milliseconds_or(
        std::string_view key,
        std::chrono::milliseconds fallback,
        std::chrono::milliseconds min_value,
        std::chrono::milliseconds max_value);
    bool flag_or(std::string_view key, bool fallback);
    std::vector<std::string> texts_or_empty(std::string_view key);

    // Whether the key is present. Marks the key as known.
    bool has(std::string_view key);

    // Returns a reader of the object under the key. An absent key reads as an
    // empty object.
    object_reader child(std::string_view key);

    // Returns the keys of this object and marks all of them as known.
    std::vector<std::string> keys();

    // Number of elements of the array under the key; zero if the key is absent.
    std::size_t size(std::string_view key);

    // Returns a reader of one element of the array under the key.
    object_reader element(std::string_view key, std::size_t index);

    // Adds a fault at the position of the key, or of this object if the key is
    // absent.
    void add_fault(std::string_view key, std::string what);

    // Adds a fault for each key of the object that is not marked as known. Call
    // after reading all keys.
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
