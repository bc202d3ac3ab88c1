#ifndef FOXTAILVALE_FUZZ_CHOICES_HPP
#define FOXTAILVALE_FUZZ_CHOICES_HPP

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>

namespace foxtailvale::fuzz
{

// Bytes read as small choices, one byte each, so that a mutated byte changes
// one choice.
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

    // Below the bound, which must not be zero; 0 when all bytes are used up.
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

    // Up to so many of the next bytes.
    std::string rest(std::size_t most)
    {
        auto const taken = std::min(most, this->bytes.size());
        std::string text(this->bytes.substr(0, taken));
        this->bytes.remove_prefix(taken);
        return text;
    }

private:
    std::string_view bytes;
};

} // namespace foxtailvale::fuzz

#endif
