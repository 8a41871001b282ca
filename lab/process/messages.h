// The messages between the lab and its process supervisor, one per packet.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "lab/process/supervisor.h"

namespace fernward::rig::messages {

struct Signal {
  std::uint32_t id = 0;
  int number = 0;
};

std::string pack(const ProgramStart& start); // without `output`, which is passed as a descriptor
std::string pack(const Signal& signal);
std::optional<ProgramStart> parse_start(const std::string& packet);
std::optional<Signal> parse_signal(const std::string& packet);

bool send_packet(int socket, const std::string& packet, int descriptor); // -1: none
// Returns an empty packet if none is available (`closed` is false) or the peer has closed.
std::string receive_packet(int socket, int& descriptor, bool& closed);

} // namespace fernward::rig::messages
