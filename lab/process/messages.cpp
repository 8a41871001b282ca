#include "lab/process/messages.h"

#include <sys/socket.h>
#include <sys/uio.h>

#include <array>
#include <cerrno>
#include <cstring>

namespace fernward::rig::messages {
namespace {

constexpr std::size_t kMostPacket = 64 * 1024;

void put(std::string& into, std::uint32_t value) {
  into.append(reinterpret_cast<const char*>(&value), sizeof value);
}
void put(std::string& into, const std::string& text) {
  put(into, static_cast<std::uint32_t>(text.size()));
  into.append(text);
}
void put(std::string& into, const std::vector<std::string>& all) {
  put(into, static_cast<std::uint32_t>(all.size()));
  for (const auto& text : all) put(into, text);
}

struct Reader { // both ends are the same program: a malformed packet is a bug, not an attack
  std::string_view rest;
  bool ok = true;

  std::uint32_t number() {
    std::uint32_t value = 0;
    if (rest.size() < sizeof value) {
      ok = false;
      return 0;
    }
    std::memcpy(&value, rest.data(), sizeof value);
    rest.remove_prefix(sizeof value);
    return value;
  }
  std::string text() {
    const std::uint32_t size = number();
    if (rest.size() < size) {
      ok = false;
      return {};
    }
    std::string out(rest.substr(0, size));
    rest.remove_prefix(size);
    return out;
  }
  std::vector<std::string> texts() {
    std::vector<std::string> all(std::min<std::size_t>(number(), kMostPacket));
    for (auto& one : all) one = text();
    return all;
  }
};

} // namespace

std::string pack(const ProgramStart& start) {
  std::string packet = "S";
  put(packet, start.id);
  put(packet, start.descriptors);
  put(packet, start.command);
  put(packet, start.environment);
  return packet;
}

std::string pack(const Signal& signal) {
  std::string packet = "K";
  put(packet, signal.id);
  put(packet, static_cast<std::uint32_t>(signal.number));
  return packet;
}

std::optional<ProgramStart> start_of(const std::string& packet) {
  if (packet.empty() || packet[0] != 'S') return std::nullopt;
  Reader reader{std::string_view(packet).substr(1)};
  ProgramStart start;
  start.id = reader.number();
  start.descriptors = reader.number();
  start.command = reader.texts();
  start.environment = reader.texts();
  if (!reader.ok || start.command.empty()) return std::nullopt;
  return start;
}

std::optional<Signal> signal_of(const std::string& packet) {
  if (packet.empty() || packet[0] != 'K') return std::nullopt;
  Reader reader{std::string_view(packet).substr(1)};
  Signal signal;
  signal.id = reader.number();
  signal.number = static_cast<int>(reader.number());
  if (!reader.ok) return std::nullopt;
  return signal;
}

bool send_packet(int socket, const std::string& packet, int descriptor) {
  iovec part{const_cast<char*>(packet.data()), packet.size()};
  msghdr message{};
  message.msg_iov = &part;
  message.msg_iovlen = 1;
  alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(int))> control{};
  if (descriptor >= 0) {
    message.msg_control = control.data();
    message.msg_controllen = control.size();
    cmsghdr* header = CMSG_FIRSTHDR(&message);
    header->cmsg_level = SOL_SOCKET;
    header->cmsg_type = SCM_RIGHTS;
    header->cmsg_len = CMSG_LEN(sizeof(int));
    std::memcpy(CMSG_DATA(header), &descriptor, sizeof descriptor);
  }
  ssize_t sent = 0;
  do {
    sent = sendmsg(socket, &message, MSG_NOSIGNAL);
  } while (sent < 0 && errno == EINTR);
  return sent == static_cast<ssize_t>(packet.size());
}

std::string receive_packet(int socket, int& descriptor, bool& ended) {
  std::string packet(kMostPacket, '\0');
  iovec part{packet.data(), packet.size()};
  alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(int))> control{};
  msghdr message{};
  message.msg_iov = &part;
  message.msg_iovlen = 1;
  message.msg_control = control.data();
  message.msg_controllen = control.size();
  descriptor = -1;
  ended = false;
  const ssize_t got = recvmsg(socket, &message, MSG_DONTWAIT | MSG_CMSG_CLOEXEC);
  if (got <= 0) {
    ended = got == 0 || (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
    return {};
  }
  for (cmsghdr* h = CMSG_FIRSTHDR(&message); h != nullptr; h = CMSG_NXTHDR(&message, h)) {
    if (h->cmsg_level == SOL_SOCKET && h->cmsg_type == SCM_RIGHTS) {
      std::memcpy(&descriptor, CMSG_DATA(h), sizeof descriptor);
    }
  }
  packet.resize(static_cast<std::size_t>(got));
  return packet;
}

} // namespace fernward::rig::messages
