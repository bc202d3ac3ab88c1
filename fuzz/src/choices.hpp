#ifndef FOXTAILVALE_FUZZ_CHOICES_HPP
#define FOXTAILVALE_FUZZ_CHOICES_HPP

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>

namespace foxtailvale::fuzz
{

// Decodes fuzzer input as a sequence of small choices, one byte each, so that
// mutating a byte changes a single choice.
class choices
{
public:
    explicit choices(std::string_view input) : bytes(input)
    {
    }

    bool done() const
    {
        return this->bytes.empty();
    }

    // Consumes a byte and returns a number below the bound, which must not be
    // zero. Returns 0 when the input is exhausted.
    std::uint64_t below(std::uint64_t bound)
    {
        if (this->bytes.empty())
        {
            return 0;
        }
        auto const byte = static_cast<unsigned char>(this->bytes.front());
        this->bytes.remove_prefix(1);
        return byte % bound;
    }

    // Consumes and returns up to `limit` of the remaining bytes.
    std::string rest(std::size_t limit)
    {
        auto const taken = std::min(limit, this->bytes.size());
        std::string text(this->bytes.substr(0, taken));
        this->bytes.remove_prefix(taken);
        return text;
    }

private:
    std::string_view bytes;
};

} // namespace foxtailvale::fuzz

#endif
