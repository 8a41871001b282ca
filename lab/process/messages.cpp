#include "lab/process/messages.h"

#include <sys/socket.h>
#include <sys/uio.h>

#include <array>
#include <cerrno>
#include <cstring>

namespace fernward::rig::messages {
namespace {

constexpr std::size_t kMaxPacketBytes = 64 * 1024;

void append(std::string& packet, std::uint32_t value) {
  packet.append(reinterpret_cast<const char*>(&value), sizeof value);
}
void append(std::string& packet, const std::string& text) {
  append(packet, static_cast<std::uint32_t>(text.size()));
  packet.append(text);
}
void append(std::string& packet, const std::vector<std::string>& texts) {
  append(packet, static_cast<std::uint32_t>(texts.size()));
  for (const auto& text : texts) append(packet, text);
}

struct PacketReader { // both ends are the same program: a malformed packet is a bug, not an attack
  std::string_view remaining;
  bool valid = true;

  std::uint32_t number() {
    std::uint32_t value = 0;
    if (remaining.size() < sizeof value) {
      valid = false;
      return 0;
    }
    std::memcpy(&value, remaining.data(), sizeof value);
    remaining.remove_prefix(sizeof value);
    return value;
  }
  std::string text() {
    const std::uint32_t size = number();
    if (remaining.size() < size) {
      valid = false;
      return {};
    }
    std::string result(remaining.substr(0, size));
    remaining.remove_prefix(size);
    return result;
  }
  std::vector<std::string> texts() {
    std::vector<std::string> result(std::min<std::size_t>(number(), kMaxPacketBytes));
    for (auto& item : result) item = text();
    return result;
  }
};

} // namespace

std::string pack(const ProgramStart& start) {
  std::string packet = "S";
  append(packet, start.id);
  append(packet, start.descriptors);
  append(packet, start.command);
  append(packet, start.environment);
  return packet;
}

std::string pack(const Signal& signal) {
  std::string packet = "K";
  append(packet, signal.id);
  append(packet, static_cast<std::uint32_t>(signal.number));
  return packet;
}

std::optional<ProgramStart> parse_start(const std::string& packet) {
  if (packet.empty() || packet[0] != 'S') return std::nullopt;
  PacketReader reader{std::string_view(packet).substr(1)};
  ProgramStart start;
  start.id = reader.number();
  start.descriptors = reader.number();
  start.command = reader.texts();
  start.environment = reader.texts();
  if (!reader.valid || start.command.empty()) return std::nullopt;
  return start;
}

std::optional<Signal> parse_signal(const std::string& packet) {
  if (packet.empty() || packet[0] != 'K') return std::nullopt;
  PacketReader reader{std::string_view(packet).substr(1)};
  Signal signal;
  signal.id = reader.number();
  signal.number = static_cast<int>(reader.number());
  if (!reader.valid) return std::nullopt;
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

std::string receive_packet(int socket, int& descriptor, bool& closed) {
  std::string packet(kMaxPacketBytes, '\0');
  iovec part{packet.data(), packet.size()};
  alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(int))> control{};
  msghdr message{};
  message.msg_iov = &part;
  message.msg_iovlen = 1;
  message.msg_control = control.data();
  message.msg_controllen = control.size();
  descriptor = -1;
  closed = false;
  const ssize_t received = recvmsg(socket, &message, MSG_DONTWAIT | MSG_CMSG_CLOEXEC);
  if (received <= 0) {
    closed = received == 0 || (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
    return {};
  }
  for (cmsghdr* header = CMSG_FIRSTHDR(&message); header != nullptr; header = CMSG_NXTHDR(&message, header)) {
    if (header->cmsg_level == SOL_SOCKET && header->cmsg_type == SCM_RIGHTS) {
      std::memcpy(&descriptor, CMSG_DATA(header), sizeof descriptor);
    }
  }
  packet.resize(static_cast<std::size_t>(received));
  return packet;
}

} // namespace fernward::rig::messages
