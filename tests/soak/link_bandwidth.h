// Bandwidth that several links share, as the network card of one machine does.
#pragma once

#include <QByteArray>
#include <QObject>
#include <QPointer>
#include <QTcpSocket>
#include <QTimer>
#include <cstdint>
#include <deque>

namespace hemlockdoor::soak {

/// A queue from which at most so many bytes a second pass, in the order of
/// their arrival. What is in the queue takes its time also when its receiver
/// has closed the connection meanwhile. Belongs to one Qt event loop.
class LinkBandwidth : public QObject {
 public:
  explicit LinkBandwidth(std::int64_t limit_per_second);

  /// Appends bytes for a receiver.
  void Pass(QTcpSocket* receiver, QByteArray bytes);

 private:
  struct Packet {
    QPointer<QTcpSocket> receiver;
    QByteArray bytes;
  };

  static constexpr int kTickMs = 5;
  static constexpr std::int64_t kTicksPerSecond = 1000 / kTickMs;

  void OnTick();

  std::int64_t bytes_per_second;
  std::deque<Packet> queue;
  QTimer timer;
};

}  // namespace hemlockdoor::soak
