// The messages between the lab and its process supervisor, one per packet.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "lab/process/supervisor.h"

namespace fernward::rig::messages {

// Requests the signal `number` to the program `id`.
struct Signal {
  std::uint32_t id = 0;
  int number = 0;
};

std::string pack(const ProgramStart& start); // without `output`, which is passed as a descriptor
std::string pack(const Signal& signal);
std::optional<ProgramStart> parse_start(const std::string& packet);
std::optional<Signal> parse_signal(const std::string& packet);

// Sends `descriptor` with the packet; -1: none. False: the packet could not be sent.
bool send_packet(int socket, const std::string& packet, int descriptor);
// Returns an empty packet if none is available, or if the peer has closed (then `closed` is set).
// `descriptor`: passed with the packet, owned by the caller; -1: none.
std::string receive_packet(int socket, int& descriptor, bool& closed);

} // namespace fernward::rig::messages
