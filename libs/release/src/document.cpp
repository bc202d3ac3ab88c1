#include <release/document.hpp>

#include <algorithm>
#include <fstream>
#include <memory>
#include <sstream>
#include <tuple>

namespace foxtailvale::release
{

namespace
{

using nlohmann::json;

// Tracks the line and column while the parser consumes the text.
struct cursor
{
    char const* at = nullptr;
    position where;
    // Position of the previous character.
    position previous;
};

// Input iterator over the text that updates the shared cursor, since nlohmann's
// SAX interface does not report lines and columns.
class counting_iterator
{
public:
    using iterator_category = std::input_iterator_tag;
    using value_type = char;
    using difference_type = std::ptrdiff_t;
    using pointer = char const*;
    using reference = char const&;

    counting_iterator(char const* start, std::shared_ptr<cursor> shared)
        : character(start), state(std::move(shared))
    {
    }

    reference operator*() const
    {
        return *this->character;
    }

    counting_iterator& operator++()
    {
        this->state->previous = this->state->where;
        if (*this->character == '\n')
        {
            ++this->state->where.line;
            this->state->where.column = 0;
        }
        else
        {
            ++this->state->where.column;
        }
        ++this->character;
        return *this;
    }

    bool operator==(counting_iterator const& other) const
    {
        return this->character == other.character;
    }

    bool operator!=(counting_iterator const& other) const
    {
        return this->character != other.character;
    }

private:
    char const* character;
    std::shared_ptr<cursor> state;
};

// Escapes a key for use in a JSON pointer.
std::string escaped(std::string const& key)
{
    std::string text;
    for (char const character : key)
    {
        if (character == '~')
        {
            text += "~0";
        }
        else if (character == '/')
        {
            text += "~1";
        }
        else
        {
            text += character;
        }
    }
    return text;
}

// SAX handler that builds the value and records the position of each part.
class document_builder : public json::json_sax_t
{
public:
    document_builder(document& result, std::shared_ptr<cursor> shared)
        : target(result), state(std::move(shared))
    {
    }

    bool null() override
    {
        return this->add_value(nullptr);
    }

    bool boolean(bool value) override
    {
        return this->add_value(value);
    }

    bool number_integer(number_integer_t value) override
    {
        return this->add_number(value);
    }

    bool number_unsigned(number_unsigned_t value) override
    {
        return this->add_number(value);
    }

    bool number_float(number_float_t value, string_t const& /*text*/) override
    {
        return this->add_number(value);
    }

    bool string(string_t& value) override
    {
        return this->add_value(value);
    }

    bool binary(binary_t& /*value*/) override
    {
        return false;
    }

    bool start_object(std::size_t /*size*/) override
    {
        return this->open_container(json::object());
    }

    bool end_object() override
    {
        this->levels.pop_back();
        return true;
    }

    bool start_array(std::size_t /*size*/) override
    {
        return this->open_container(json::array());
    }

    bool end_array() override
    {
        this->levels.pop_back();
        return true;
    }

    bool key(string_t& name) override
    {
        auto& parent = this->levels.back();
        parent.key = name;
        if (parent.value->contains(name))
        {
            this->target.faults.push_back(
                {this->state->where, parent.path + "/" + escaped(name),
                 "the key stands twice in this object"});
        }
        return true;
    }

    bool parse_error(
        std::size_t /*offset*/,
        std::string const& /*token*/,
        json::exception const& fault_text) override
    {
        std::string what = fault_text.what();
        auto const cut = what.find("syntax error");
        if (cut != std::string::npos)
        {
            what = what.substr(cut);
        }
        this->target.faults.push_back({this->state->where, "", what});
        return false;
    }

private:
    struct level
    {
        json* value;
        std::string path;
        std::string key;
    };

    json* insert(json value, std::string& path)
    {
        if (this->levels.empty())
        {
            this->target.value = std::move(value);
            path.clear();
            return &this->target.value;
        }
        auto& parent = this->levels.back();
        if (parent.value->is_array())
        {
            path = parent.path + "/" + std::to_string(parent.value->size());
            parent.value->push_back(std::move(value));
            return &parent.value->back();
        }
        path = parent.path + "/" + escaped(parent.key);
        return &((*parent.value)[parent.key] = std::move(value));
    }

    bool add_value(json value)
    {
        return this->add_value_at(std::move(value), this->state->where);
    }

    // The parser recognizes the end of a number only by the character after it,
    // which may be on the next line; hence the previous position.
    bool add_number(json value)
    {
        return this->add_value_at(std::move(value), this->state->previous);
    }

    bool add_value_at(json value, position where)
    {
        std::string path;
        this->insert(std::move(value), path);
        this->target.positions[path] = where;
        return true;
    }

    bool open_container(json value)
    {
        std::string path;
        auto* const inserted = this->insert(std::move(value), path);
        this->target.positions[path] = this->state->where;
        this->levels.push_back({inserted, path, {}});
        return true;
    }

    document& target;
    std::shared_ptr<cursor> state;
    std::vector<level> levels;
};

} // namespace

document parse_document(std::string name, std::string_view text)
{
    document result;
    result.name = std::move(name);
    auto const shared = std::make_shared<cursor>();
    shared->where.column = 0;
    document_builder builder(result, shared);
    counting_iterator const begin(text.data(), shared);
    counting_iterator const end(text.data() + text.size(), shared);
    json::sax_parse(
        begin, end, &builder, json::input_format_t::json, true, true);
    return result;
}

document load_document(std::string const& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
    {
        document result;
        result.name = path;
        result.faults.push_back({{}, "", "the file cannot be read"});
        return result;
    }
    std::stringstream text;
    text << file.rdbuf();
    return parse_document(path, text.str());
}

std::string describe(document const& source, std::vector<fault> const& faults)
{
    auto sorted = faults;
    std::ranges::stable_sort(
        sorted,
        [](fault const& left, fault const& right)
        {
            return std::tie(left.where.line, left.where.column) <
                   std::tie(right.where.line, right.where.column);
        });
    std::ostringstream text;
    for (auto const& entry : sorted)
    {
        text << source.name << ':' << entry.where.line << ':'
             << entry.where.column << ": ";
        if (!entry.path.empty())
        {
            text << entry.path << ": ";
        }
        text << entry.what << '\n';
    }
    return text.str();
}

} // namespace foxtailvale::release
