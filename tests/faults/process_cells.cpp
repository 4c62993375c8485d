#include "cell.hpp"

namespace plumdale::faults
{

std::vector<process_cell> process_cells()
{
    return {
        {"mid stream", "engine dies", "a draft whose engine dies is never run again"},
        {"dispatched", "engine pauses and wakes",
         "questions sent to a frozen engine are answered by another"},
        {"mid stream", "engine pauses and wakes", "a draft continues when its frozen engine wakes"},
        {"mid stream", "wrong tokens", "faulty tokens from an engine never reach the caller"},
        {"received", "engine reclaimed", "a leaving engine gets no new work after two seconds"},
        {"mid stream", "entry VM dies", "a draft survives the death of its entry VM"},
        {"mid stream", "pauses and wakes", "an entry VM that freezes and wakes runs nothing twice"},
        {"delivered", "caller repeats", "a repeat under the same key runs nothing"},
        {"mid stream", "all replaced in turn",
         "a rolling replacement of all entry VMs cuts no answer"},
        {"drained", "drains", "a graceful shutdown cuts no request in flight"},
        {"mid stream", "connection silent", "a stream continues over a new connection"},
        {"received", "link cut", "a request fails without a run when no engine can be reached"},
        {"dispatched", "service cut", "a call that may have run is not sent again"},
        {"dispatched", "service refuses", "a call that a service refused is reported as not run"},
        {"preset accepted", "none", "a published switch comes into force everywhere"},
        {"preset accepted", "platform down",
         "a switch made while the platform is down is kept when it returns"},
        {"preset read", "platform stale",
         "a new entry VM uses the switch of its peers rather than of a stale platform"},
    };
}

} // namespace plumdale::faults
