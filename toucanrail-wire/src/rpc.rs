//! Remote calls between the system's own processes: HTTP with `MessagePack` bodies, one call at a
//! time per connection.

use std::io;

use serde::Serialize;
use serde::de::DeserializeOwned;
use toucanrail::framing::BodyDecoder;
use toucanrail::scanners::BodyLength;

use crate::connections::BufferedConnection;
use crate::heads::{RequestHead, ResponseHead};

/// Maximum size of a message's head, in bytes.
const HEAD_LIMIT: usize = 4 * 1024;
/// Maximum size of a message's body, in bytes.
const BODY_LIMIT: usize = 1024 * 1024;

/// Makes one call and decodes its reply. A status other than 200 gives `InvalidData`.
pub async fn call<Request, Reply>(
    channel: &mut BufferedConnection,
    path: &str,
    request: &Request,
) -> io::Result<Reply>
where
    Request: Serialize,
    Reply: DeserializeOwned,
{
    let body = rmp_serde::to_vec_named(request).map_err(io::Error::other)?;
    let head =
        format!("POST {path} HTTP/1.1\r\nHost: fleet\r\nContent-Length: {}\r\n\r\n", body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(&body);
    channel.writer().write_all(&bytes).await?;
    let bytes = channel.read_head(HEAD_LIMIT).await?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let head = ResponseHead::parse(&bytes).map_err(|_| io::ErrorKind::InvalidData)?;
    if head.status != 200 {
        return Err(io::ErrorKind::InvalidData.into());
    }
    decode(&read_body(channel, head.length).await?)
}

/// Reads the head and body of one call; none if the peer closed the connection after the last one.
pub async fn read_call(
    channel: &mut BufferedConnection,
) -> io::Result<Option<(RequestHead, Vec<u8>)>> {
    let Some(bytes) = channel.read_head(HEAD_LIMIT).await? else {
        return Ok(None);
    };
    let head = RequestHead::parse(&bytes).map_err(|_| io::ErrorKind::InvalidData)?;
    let body = read_body(channel, head.length).await?;
    Ok(Some((head, body)))
}

/// Writes the reply to one call.
pub async fn reply<Reply>(channel: &BufferedConnection, reply: &Reply) -> io::Result<()>
where
    Reply: Serialize,
{
    let body = rmp_serde::to_vec_named(reply).map_err(io::Error::other)?;
    let mut bytes =
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(&body);
    channel.writer().write_all(&bytes).await
}

/// Decodes the body of a call or of a reply.
pub fn decode<Message>(body: &[u8]) -> io::Result<Message>
where
    Message: DeserializeOwned,
{
    rmp_serde::from_slice(body).map_err(io::Error::other)
}

async fn read_body(channel: &mut BufferedConnection, length: BodyLength) -> io::Result<Vec<u8>> {
    let mut framer = BodyDecoder::for_request(length);
    let mut body = Vec::new();
    loop {
        let taken = framer.feed(&channel.buffer, &mut body);
        channel.buffer.drain(..taken);
        if framer.is_done() {
            return Ok(body);
        }
        if framer.is_malformed() || body.len() > BODY_LIMIT || channel.fill().await? == 0 {
            return Err(io::ErrorKind::InvalidData.into());
        }
    }
}
