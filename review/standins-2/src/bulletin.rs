//! A bulletin with a fixed list of workers: it tells the last number at once and then every second.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// Starts a bulletin that has no event after those that a router knows from its start. Returns its address.
pub fn start() -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || tell(stream));
        }
    });
    Ok(address)
}

fn tell(mut stream: TcpStream) -> Option<()> {
    let mut line = String::new();
    BufReader::new(&stream).read_line(&mut line).ok()?;
    let number = line.strip_prefix("after ")?.trim().to_owned() + "\n";
    loop {
        stream.write_all(number.as_bytes()).ok()?;
        std::thread::sleep(Duration::from_secs(1));
    }
}
