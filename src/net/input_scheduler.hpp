// Shares the turns of an event loop among all sources of input: connections, listeners, datagram sockets.
//
// The loop only reports that a source is ready. The scheduler then reads one quantum of each ready source in
// rounds, until the turn's limit is reached; the others keep their place for the next turn. Sources that have
// just become ready come before those that left input unread in their last quantum, so that a peer with
// little input waits for no peer that sends at full speed. At least one of each kind is read each turn.
#pragma once

#include <ev++.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>

namespace bellstair::net {

class InputScheduler;

// A source's place in the queue of the scheduler of its loop. If the loop has no scheduler, input is read at
// once, one quantum for each report.
class InputSource {
 public:
  enum class Quantum {
    drained,   // nothing is left to read, or the source is closed
    has_more,  // there may be more to read
  };

  explicit InputSource(ev::loop_ref loop);
  ~InputSource() { cancel(); }
  InputSource(const InputSource&) = delete;
  InputSource& operator=(const InputSource&) = delete;

  // `read` is called with the scheduler's turn, and reads at most one quantum. It may destroy the object, and
  // this source with it.
  template <class Object, InputSource::Quantum (Object::*read)()>
  void set(Object* object) {
    object_ = object;
    read_ = [](void* to) { return (static_cast<Object*>(to)->*read)(); };
  }

  void ready();   // there is input to read; no-op while the source is queued
  void cancel();  // leaves the queue

 private:
  friend class InputScheduler;

  InputScheduler* scheduler_;
  void* object_ = nullptr;
  Quantum (*read_)(void*) = nullptr;
  std::list<InputSource*>* queue_ = nullptr;  // null: not queued
  std::list<InputSource*>::iterator position_;
};

class InputScheduler {
 public:
  // Becomes the scheduler of this loop's sources; must outlive them.
  explicit InputScheduler(ev::loop_ref loop);
  ~InputScheduler();
  InputScheduler(const InputScheduler&) = delete;
  InputScheduler& operator=(const InputScheduler&) = delete;

  [[nodiscard]] static InputScheduler* of(ev::loop_ref loop);

  // Reads from ready sources until none is left, or until `min_quanta` are read and `may_continue`, which is
  // called after each quantum, returns false; then one more quantum may follow. With fresh() as `min_quanta`,
  // each source is read that has become ready. If sources are left, the loop does not sleep before the next
  // turn. Returns the number of quanta.
  std::size_t run_turn(std::size_t min_quanta, const std::function<bool()>& may_continue);

  [[nodiscard]] std::size_t fresh() const { return fresh_.size(); }
  [[nodiscard]] std::size_t waiting() const { return fresh_.size() + backlogged_.size(); }

 private:
  friend class InputSource;
  using Queue = std::list<InputSource*>;

  void enqueue(InputSource& source, Queue& queue);
  void read_next(Queue& queue);
  void on_wake(ev::timer&, int) {}

  ev::loop_ref loop_;
  Queue fresh_;       // have become ready since they were last drained
  Queue backlogged_;  // left input unread in their last quantum
  InputSource* reading_ = nullptr;
  ev::timer wake_;  // active while sources wait: the loop must not sleep then
};

}  // namespace bellstair::net
