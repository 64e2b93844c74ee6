// A connected TCP socket on the event loop, without buffers of its own.
#pragma once

#include <QSocketNotifier>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace hemlockdoor::wire {

/// Owns the descriptor of a connected socket. QTcpSocket is not used because
/// one made from a descriptor buffers whatever arrives, even in unbuffered
/// mode: 64 clients with 8 MB each took 488 MB.
class ConnectedSocket {
 public:
  using Signal = std::function<void()>;

  /// Takes over `descriptor`, makes it non-blocking and sends without delay.
  explicit ConnectedSocket(int descriptor);
  ~ConnectedSocket();
  ConnectedSocket(const ConnectedSocket&) = delete;
  ConnectedSocket& operator=(const ConnectedSocket&) = delete;

  /// Sets what runs when bytes can be read, and when more can be written
  /// after a short write. Both may destroy this object.
  void Start(Signal readable, Signal writable);

  /// Outcome of one transfer.
  struct Transfer {
    std::size_t bytes = 0;
    /// The peer ended its side, or the connection failed.
    bool closed = false;
  };
  /// Reads what is there, up to `max_bytes`. `readable` runs again only after
  /// a read found nothing more.
  Transfer Read(char* target, std::size_t max_bytes);
  /// Writes as much as the kernel takes; `writable` runs when it takes more.
  Transfer Write(const char* source, std::size_t count);
  /// Ends this side; the peer reads the end after all that was written.
  void ShutDownWriting();
  /// Closes the descriptor; no signal runs afterwards.
  void Close();

  /// IP address of the peer.
  std::string PeerAddress() const;
  /// Context for deferred work; lives as long as the socket.
  QObject* Context() { return this->reads.get(); }

 private:
  /// A notifier may be destroyed inside its own signal.
  struct DeleteLater {
    void operator()(QObject* object) const { object->deleteLater(); }
  };
  using Notifier = std::unique_ptr<QSocketNotifier, DeleteLater>;

  int descriptor;
  Notifier reads;
  Notifier writes;
};

}  // namespace hemlockdoor::wire
