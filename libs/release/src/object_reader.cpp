#include <release/object_reader.hpp>

namespace foxtailvale::release
{

namespace
{

using nlohmann::json;

json const* find_value(document const& source, std::string const& path)
{
    json::json_pointer const pointer(path);
    return source.value.contains(pointer) ? &source.value.at(pointer) : nullptr;
}

// Escapes a key for use in a JSON pointer.
std::string escaped(std::string_view key)
{
    std::string text;
    for (char const character : key)
    {
        text += character == '~'   ? "~0"
                : character == '/' ? "~1"
                                   : std::string(1, character);
    }
    return text;
}

std::string range_text(std::uint64_t min_value, std::uint64_t max_value)
{
    return "must be a whole number from " + std::to_string(min_value) + " to " +
           std::to_string(max_value);
}

} // namespace

object_reader::object_reader(
    document const& from, std::string where, std::vector<fault>& into)
    : source(&from), path(std::move(where)),
      object(find_value(from, this->path)), faults(&into)
{
    if (this->object != nullptr && !this->object->is_object())
    {
        this->add_fault("", "must be an object");
        this->object = nullptr;
    }
}

std::string object_reader::path_of(std::string_view key) const
{
    return key.empty() ? this->path : this->path + "/" + escaped(key);
}

position object_reader::position_of(std::string const& where) const
{
    auto text = where;
    while (true)
    {
        auto const found = this->source->positions.find(text);
        if (found != this->source->positions.end())
        {
            return found->second;
        }
        if (text.empty())
        {
            return {};
        }
        text = text.substr(0, text.rfind('/'));
    }
}

void object_reader::add_fault(std::string_view key, std::string what)
{
    auto const where = this->path_of(key);
    this->faults->push_back({this->position_of(where), where, std::move(what)});
}

json const* object_reader::value_at(std::string_view key)
{
    this->known.emplace(key);
    if (this->object == nullptr || !this->object->contains(key))
    {
        return nullptr;
    }
    return &(*this->object)[std::string(key)];
}

std::string object_reader::text(std::string_view key)
{
    if (this->value_at(key) == nullptr)
    {
        this->add_fault(key, "is missing");
        return {};
    }
    return this->text_or(key, {});
}

std::string object_reader::text_or(std::string_view key, std::string fallback)
{
    auto const* const value = this->value_at(key);
    if (value == nullptr)
    {
        return fallback;
    }
    if (!value->is_string() || value->get_ref<std::string const&>().empty())
    {
        this->add_fault(key, "must be a text that is not empty");
        return fallback;
    }
    return value->get<std::string>();
}

std::uint64_t object_reader::number(
    std::string_view key, std::uint64_t min_value, std::uint64_t max_value)
{
    if (this->value_at(key) == nullptr)
    {
        this->add_fault(key, "is missing");
        return min_value;
    }
    return this->number_or(key, min_value, min_value, max_value);
}

std::uint64_t object_reader::number_or(
    std::string_view key,
    std::uint64_t fallback,
    std::uint64_t min_value,
    std::uint64_t max_value)
{
    auto const* const value = this->value_at(key);
    if (value == nullptr)
    {
        return fallback;
    }
    if (!value->is_number_unsigned())
    {
        this->add_fault(key, range_text(min_value, max_value));
        return fallback;
    }
    auto const number = value->get<std::uint64_t>();
    if (number < min_value || number > max_value)
    {
        this->add_fault(key, range_text(min_value, max_value));
        return fallback;
    }
    return number;
}

std::chrono::milliseconds object_reader::milliseconds_or(
    std::string_view key,
    std::chrono::milliseconds fallback,
    std::chrono::milliseconds min_value,
    std::chrono::milliseconds max_value)
{
    auto const count = [](std::chrono::milliseconds time)
    {
        return static_cast<std::uint64_t>(time.count());
    };
    return std::chrono::milliseconds(this->number_or(
        key, count(fallback), count(min_value), count(max_value)));
}

bool object_reader::flag_or(std::string_view key, bool fallback)
{
    auto const* const value = this->value_at(key);
    if (value == nullptr)
    {
        return fallback;
    }
    if (!value->is_boolean())
    {
        this->add_fault(key, "must be true or false");
        return fallback;
    }
    return value->get<bool>();
}

std::vector<std::string> object_reader::texts_or_empty(std::string_view key)
{
    auto const* const value = this->value_at(key);
    std::vector<std::string> texts;
    if (value == nullptr)
    {
        return texts;
    }
    if (!value->is_array())
    {
        this->add_fault(key, "must be a list of texts");
        return texts;
    }
    for (auto const& element : *value)
    {
        if (!element.is_string())
        {
            this->add_fault(key, "must hold texts only");
            continue;
        }
        texts.push_back(element.get<std::string>());
    }
    return texts;
}

bool object_reader::has(std::string_view key)
{
    return this->value_at(key) != nullptr;
}

object_reader object_reader::child(std::string_view key)
{
    this->known.emplace(key);
    return {*this->source, this->path_of(key), *this->faults};
}

std::vector<std::string> object_reader::keys()
{
    std::vector<std::string> names;
    if (this->object == nullptr)
    {
        return names;
    }
    for (auto const& [name, value] : this->object->items())
    {
        names.push_back(name);
        this->known.emplace(name);
    }
    return names;
}

std::size_t object_reader::size(std::string_view key)
{
    auto const* const value = this->value_at(key);
    if (value == nullptr)
    {
        return 0;
    }
    if (!value->is_array())
    {
        this->add_fault(key, "must be a list");
        return 0;
    }
    return value->size();
}

object_reader object_reader::element(std::string_view key, std::size_t index)
{
    auto const where = this->path_of(key) + "/" + std::to_string(index);
    return {*this->source, where, *this->faults};
}

void object_reader::finish()
{
    if (this->object == nullptr)
    {
        return;
    }
    for (auto const& [name, value] : this->object->items())
    {
        if (!this->known.contains(name))
        {
            this->add_fault(name, "is not a known key");
        }
    }
}

} // namespace foxtailvale::release
