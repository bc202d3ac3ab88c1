#include <direct/store_restore.hpp>

#include <algorithm>
#include <utility>

namespace foxtailvale::direct
{

namespace
{

bool is_within(
    std::optional<base::time_point> begin,
    std::chrono::milliseconds time,
    base::time_point now)
{
    return begin && now - *begin < time;
}

void forget_old(list_doubt& doubt, base::time_point now)
{
    std::erase_if(
        doubt.left,
        [now](auto const& entry)
        {
            return now - entry.second > left_memory;
        });
}

bool is_leaving(endpoint_table const& book, std::string const& id)
{
    auto const found = book.endpoints.find(id);
    return found != book.endpoints.end() && found->second.listed.draining;
}

} // namespace

void note_store_restored(endpoint_table& book, base::time_point now)
{
    book.doubt.returned = now;
}

bool may_lack_endpoints(endpoint_table const& book, base::time_point now)
{
    return is_within(book.doubt.returned, copy_time, now);
}

void note_left(endpoint_table& book, std::string const& id, base::time_point now)
{
    auto& doubt = book.doubt;
    if (doubt.left.size() >= most_left)
    {
        forget_old(doubt, now);
    }
    if (doubt.left.size() < most_left)
    {
        doubt.left[id] = now;
    }
}

void note_present(endpoint_table& book, std::string const& id)
{
    book.doubt.left.erase(id);
    book.doubt.kept_back.erase(id);
}

bool keep_back(
    endpoint_table& book, endpoint_record const& record, base::time_point now)
{
    auto& doubt = book.doubt;
    if (!is_within(doubt.returned, copy_time, now))
    {
        return false;
    }
    forget_old(doubt, now);
    auto const leaves = is_leaving(book, record.id) && !record.draining;
    if (!leaves && !doubt.left.contains(record.id))
    {
        return false;
    }
    doubt.kept_back[record.id] = record;
    return true;
}

void forget_kept_back(endpoint_table& book, std::string const& id)
{
    book.doubt.kept_back.erase(id);
}

std::vector<endpoint_record>
take_believed(endpoint_table& book, base::time_point now)
{
    std::vector<endpoint_record> believed;
    auto& doubt = book.doubt;
    if (doubt.kept_back.empty() || is_within(doubt.returned, copy_time, now))
    {
        return believed;
    }
    for (auto& [id, record] : std::exchange(doubt.kept_back, {}))
    {
        believed.push_back(std::move(record));
    }
    return believed;
}

bool take_out_of_service(endpoint_table& book, std::string const& domain)
{
    book.doubt.held_out.erase(domain);
    return book.domains_out.insert(domain).second;
}

bool return_to_service(endpoint_table& book, std::string const& domain)
{
    book.doubt.held_out.erase(domain);
    return book.domains_out.erase(domain) > 0;
}

std::vector<std::string> replace_domains(
    endpoint_table& book,
    std::set<std::string> const& listed,
    base::time_point now)
{
    auto& doubt = book.doubt;
    std::vector<std::string> back;
    for (auto const& domain : std::set<std::string>(book.domains_out))
    {
        if (listed.contains(domain))
        {
            continue;
        }
        if (is_within(doubt.returned, held_out_time, now))
        {
            doubt.held_out.insert(domain);
            continue;
        }
        return_to_service(book, domain);
        back.push_back(domain);
    }
    return back;
}

std::vector<std::string>
expire_domains(endpoint_table& book, base::time_point now)
{
    auto& doubt = book.doubt;
    std::vector<std::string> back;
    if (doubt.held_out.empty() || is_within(doubt.returned, held_out_time, now))
    {
        return back;
    }
    for (auto const& domain : std::exchange(doubt.held_out, {}))
    {
        if (book.domains_out.erase(domain) > 0)
        {
            back.push_back(domain);
        }
    }
    return back;
}

} // namespace foxtailvale::direct
