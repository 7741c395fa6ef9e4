#include "link/channel_manager.hpp"

#include <cerrno>
#include <cstring>
#include <utility>

namespace bellstair::link {
namespace {

// Limit of closing channels, which still use a descriptor because their peers have not read everything.
constexpr std::size_t kMaxClosing = 256;

}  // namespace

ChannelManager::ChannelManager(ev::loop_ref loop, Limits limits, std::size_t max_accepted, Handlers handlers)
    : loop_(loop),
      limits_(limits),
      max_accepted_(max_accepted),
      handlers_(std::move(handlers)),
      lingerer_(loop) {}

void ChannelManager::listen(net::Fd fd) {
  listener_ = std::make_unique<net::Listener>(
      loop_, std::move(fd), [this](net::Fd accepted, net::Time) { accept(std::move(accepted)); });
}

void ChannelManager::accept(net::Fd fd) {
  if (accepted_count_ >= max_accepted_) {
    ++rejected_count_;
    return;
  }
  auto address = net::peer_address(fd.get());
  const auto id = add(std::move(fd), false);
  auto& entry = *entries_.at(id);
  entry.accepted = true;
  entry.peer_address = std::move(address);
  ++accepted_count_;
  handlers_.on_accepted(id);
}

ChannelId ChannelManager::dial(const std::string& address) {
  const auto parsed = net::parse_address(address);
  errno = EINVAL;
  auto fd = parsed ? net::begin_connect(*parsed) : net::Fd();
  const int error = errno;
  const bool begun = static_cast<bool>(fd);
  const auto id = add(std::move(fd), true);
  auto& entry = *entries_.at(id);
  entry.peer_address = address;
  if (!begun) {
    entry.pending_error = ChannelError(ChannelFault::io, std::strerror(error));
    due_.push_back(id);
  }
  return id;
}

ChannelId ChannelManager::add(net::Fd fd, bool dialling) {
  const auto id = ++last_id_;
  // A dialled peer is identified by its address, so its first message may be as long as any other.
  auto limits = limits_;
  if (dialling) limits.max_first_message_bytes = limits.max_message_bytes;
  auto entry = std::make_unique<Entry>(loop_, std::move(fd), dialling, limits);
  entry->channel.handle({
      .on_connected = [this, id] { handlers_.on_connected(id); },
      .on_message = [this, id](std::string_view body) { handlers_.on_message(id, body); },
      .on_closed = [this, id](const ChannelError& error) { on_channel_closed(id, error); },
      .on_drained = [this, id] { on_channel_drained(id); },
  });
  entries_.emplace(id, std::move(entry));
  return id;
}

void ChannelManager::send(ChannelId id, std::string_view body) {
  const auto found = entries_.find(id);
  if (found == entries_.end() || found->second->pending_error) return;
  auto& entry = *found->second;
  entry.pending_error = entry.channel.send(body);
  if (entry.pending_error || !std::exchange(entry.drained_due, true)) due_.push_back(id);
}

std::unique_ptr<ChannelManager::Entry> ChannelManager::remove(Entries::iterator found) {
  auto out = std::move(found->second);
  entries_.erase(found);
  if (out->accepted) --accepted_count_;
  return out;
}

void ChannelManager::close_after_flush(ChannelId id) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return;
  auto entry = remove(found);
  if (!entry->pending_error && entry->channel.is_open() && !entry->channel.is_dialling())
    lingerer_.take(entry->channel.stream());
  entry->channel.close();
  removed_.push_back(std::move(entry));
  lingerer_.trim(kMaxClosing);
}

void ChannelManager::close(ChannelId id) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return;
  auto entry = remove(found);
  entry->channel.close();
  removed_.push_back(std::move(entry));
}

void ChannelManager::on_channel_closed(ChannelId id, const ChannelError& error) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return;
  const auto address = found->second->peer_address;
  close(id);
  handlers_.on_closed(id, error, address);
}

void ChannelManager::on_channel_drained(ChannelId id) {
  const auto found = entries_.find(id);
  if (found == entries_.end() || !std::exchange(found->second->drained_due, false)) return;
  handlers_.on_drained(id);
}

void ChannelManager::settle() {
  while (!due_.empty()) {
    for (const auto id : std::exchange(due_, {})) dispatch(id);
  }
  removed_.clear();
  lingerer_.settle();
}

void ChannelManager::dispatch(ChannelId id) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return;
  const auto& entry = *found->second;
  if (entry.pending_error) {
    on_channel_closed(id, ChannelError(*entry.pending_error));
  } else if (entry.drained_due && entry.channel.unsent_bytes() == 0) {
    on_channel_drained(id);
  }
}

void ChannelManager::tick(core::Time now) { lingerer_.tick(now); }

std::size_t ChannelManager::unsent_bytes() const {
  std::size_t out = 0;
  for (const auto& [id, entry] : entries_) out += entry->channel.unsent_bytes();
  return out;
}

}  // namespace bellstair::link
