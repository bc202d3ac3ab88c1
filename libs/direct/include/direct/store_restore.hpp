#ifndef FOXTAILVALE_DIRECT_STORE_RESTORE_HPP
#define FOXTAILVALE_DIRECT_STORE_RESTORE_HPP

#include <direct/endpoint_table.hpp>

#include <chrono>
#include <string>
#include <vector>

// What an entry holds against a list of the platform's store after the store
// has come back from a copy some seconds old.
//
// The copy lists endpoints that have left since, shows others as ready that
// are leaving, and lacks failure domains that were taken out of service. Those
// who wrote this write it again; until then what was known before holds.
// Endpoints that the copy lacks are treated as after any loss of the list.
namespace foxtailvale::direct
{

// An endpoint that is gone falls out of the list after three heartbeats of
// silence, and what is listed for longer lives. Heartbeats come every 1.2 s.
inline constexpr std::chrono::milliseconds copy_time{5000};

// A failure domain that the copy lacks stays out for so long. Nothing shows
// that it was taken back, as what the store lacks cannot be removed there.
inline constexpr std::chrono::milliseconds held_out_time{30000};

// Endpoints that left are remembered for longer than a copy is old.
inline constexpr std::chrono::milliseconds left_memory{30000};
inline constexpr std::size_t most_left = 4096;

// The store came back from a copy.
void note_store_restored(endpoint_table& book, base::time_point now);

// Whether a list may lack endpoints that live and will write themselves again.
bool may_lack_endpoints(endpoint_table const& book, base::time_point now);

// An endpoint was removed from a list that can be relied on.
void note_left(
    endpoint_table& book, std::string const& id, base::time_point now);

// An endpoint is listed and believed.
void note_present(endpoint_table& book, std::string const& id);

// Whether the listed record may be one of the copy that no longer holds: the
// endpoint has left, or is leaving. It is kept back until the copy's time is
// over.
bool keep_back(
    endpoint_table& book, endpoint_record const& record, base::time_point now);

// The endpoint was removed: nothing is kept back for it.
void forget_kept_back(endpoint_table& book, std::string const& id);

// Records whose time to be kept back is over; they are believed from now on.
std::vector<endpoint_record>
take_believed(endpoint_table& book, base::time_point now);

// Takes a failure domain out of service, or back; false when nothing changed.
bool take_out_of_service(endpoint_table& book, std::string const& domain);
bool return_to_service(endpoint_table& book, std::string const& domain);

// Replaces the list of failure domains that are out of service. Returns those
// that came back.
std::vector<std::string> replace_domains(
    endpoint_table& book,
    std::set<std::string> const& listed,
    base::time_point now);

// Takes back the failure domains that were held out for long enough.
std::vector<std::string>
expire_domains(endpoint_table& book, base::time_point now);

} // namespace foxtailvale::direct

#endif
