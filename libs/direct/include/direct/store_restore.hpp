#ifndef FOXTAILVALE_DIRECT_STORE_RESTORE_HPP
#define FOXTAILVALE_DIRECT_STORE_RESTORE_HPP

#include <direct/endpoint_table.hpp>

#include <chrono>
#include <string>
#include <vector>

// Corrects lists of the platform's store after the store was restored from a
// copy that is some seconds old.
//
// The copy lists endpoints that have left since, shows draining endpoints as
// ready, and lacks failure domains that were taken out of service. The writers
// of these records write them again; until then the earlier state applies.
// Endpoints that the copy lacks are treated as after any loss of the list.
namespace foxtailvale::direct
{

// A dead endpoint disappears from the list after three missed heartbeats, which
// are sent every 1.2 s. An endpoint that is listed for longer is alive.
inline constexpr std::chrono::milliseconds withhold_time{5000};

// How long a failure domain that the copy lacks stays out of service. Nothing
// shows that it was returned to service, because what the store lacks cannot be
// removed there.
inline constexpr std::chrono::milliseconds held_out_time{30000};

// How long endpoints that left are remembered; longer than the age of a copy.
inline constexpr std::chrono::milliseconds departed_memory{30000};
inline constexpr std::size_t max_departed = 4096;

// Records that the store was restored from a copy.
void note_store_restored(endpoint_table& table, base::time_point now);

// Whether a list may lack live endpoints that are going to register again.
bool may_lack_endpoints(endpoint_table const& table, base::time_point now);

// Records that an endpoint was removed from a reliable list.
void note_departed(
    endpoint_table& table, std::string const& id, base::time_point now);

// Records that an endpoint is listed and its record applied.
void note_present(endpoint_table& table, std::string const& id);

// Withholds the listed record if it may come from the copy and be out of date
// because the endpoint has left or is draining. Returns whether it was
// withheld; it stays so until withhold_time is over.
bool withhold(
    endpoint_table& table, endpoint_record const& record, base::time_point now);

// Discards the withheld record of an endpoint that was removed.
void discard_withheld(endpoint_table& table, std::string const& id);

// Returns and forgets the withheld records once withhold_time is over; they are
// valid from then on.
std::vector<endpoint_record>
take_released(endpoint_table& table, base::time_point now);

// Takes a failure domain out of service or returns it. Returns false if nothing
// changed.
bool take_out_of_service(endpoint_table& table, std::string const& domain);
bool return_to_service(endpoint_table& table, std::string const& domain);

// Replaces the list of failure domains that are out of service. Returns the
// domains that are back in service.
std::vector<std::string> replace_domains(
    endpoint_table& table,
    std::set<std::string> const& listed,
    base::time_point now);

// Returns to service the failure domains whose held_out_time is over, and
// reports them.
std::vector<std::string>
expire_domains(endpoint_table& table, base::time_point now);

} // namespace foxtailvale::direct

#endif
